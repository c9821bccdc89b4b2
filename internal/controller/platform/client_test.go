package platform

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/lease"
)

// fakeFences allows calls under one fencing token.
type fakeFences struct{ allowed, used, refused int64 }

func (f *fakeFences) RecordFenceUsed(_ int, fence int64) { f.used = fence }

func (f *fakeFences) MayCall(_ int, fence int64) bool { return fence == f.allowed }

func (f *fakeFences) RecordRefusal(_ int, fence int64) { f.refused, f.allowed = fence, 0 }

// fakePlatform responds with a status, or fails the call if the status is 0.
type fakePlatform struct {
	status  int
	addrs   []string
	headers map[string]string
}

var errNoResponse = errors.New("no answer")

func (f *fakePlatform) Ask(_ context.Context, addr, _, _ string, headers map[string]string, _ []byte) (int, error) {
	f.addrs, f.headers = append(f.addrs, addr), headers
	if f.status == 0 {
		return 0, errNoResponse
	}
	return f.status, nil
}

func newTestClient(t *testing.T, fences *fakeFences, server *fakePlatform, addr *string) *Client {
	t.Helper()
	client, err := New(Config{
		Holder: "n",
		Addr:   func() string { return *addr },
		Fences: fences,
		HTTP:   server,
		Clock:  func() int64 { return 77 },
		Log:    logr.Discard(),
	})
	must.NoError(t, err)
	return client
}

const testRegister = 2

func call(client *Client, fence int64) Outcome {
	return client.Call(context.Background(), testRegister, lease.Grant{Fence: fence, MayAct: true}, "/usage", struct{}{})
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Holder: "n"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestCallOutcomeByStatus(t *testing.T) {
	for status, outcome := range map[int]Outcome{http.StatusOK: Accepted, http.StatusNoContent: Accepted, http.StatusConflict: FenceRefused, http.StatusServiceUnavailable: Failed, 0: Failed} {
		addr := "a:1"
		fences := &fakeFences{allowed: 4}
		client := newTestClient(t, fences, &fakePlatform{status: status}, &addr)
		must.Eq(t, outcome, call(client, 4))
		must.Eq(t, 4, fences.used)
		must.Eq(t, outcome == FenceRefused, fences.refused == 4)
		must.Eq(t, LastCall{SentUs: 77, Outcome: outcome}, client.Last(testRegister))
		must.Eq(t, 1, client.OutcomeCounts()[outcomeNames[outcome]])
	}
}

// Guards against calls under a grant that has expired before the call is sent, or under a refused
// fencing token.
func TestCallIsNotSentWithoutGrantOrUnderRefusedFence(t *testing.T) {
	addr, server, fences := "a:1", &fakePlatform{status: http.StatusOK}, &fakeFences{}
	client := newTestClient(t, fences, server, &addr)
	must.Eq(t, NotSent, call(client, 4))
	fences.allowed = 4
	must.Eq(t, Accepted, call(client, 4))
	must.Eq(t, map[string]string{"Beechtide-Duty-Holder": "n", "Beechtide-Fence": "4"}, server.headers)
	fences.RecordRefusal(testRegister, 4)
	must.Eq(t, NotSent, call(client, 4))
	must.Len(t, 1, server.addrs)
}

func TestCallUsesCurrentAddress(t *testing.T) {
	addr, server := "a:1", &fakePlatform{status: http.StatusOK}
	client := newTestClient(t, &fakeFences{allowed: 4}, server, &addr)
	call(client, 4)
	addr = "b:1"
	call(client, 4)
	must.Eq(t, []string{"a:1", "b:1"}, server.addrs)
}
