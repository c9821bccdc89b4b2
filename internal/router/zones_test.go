package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/upstream"
)

// listInZones makes the router receive a runner in its own zone and one in another.
func (r *Router) listInZones(t *testing.T, near, far *runner) {
	t.Helper()
	r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(
		t,
		messages.RunnerRecord{ID: "near", Service: "s", Addr: near.addr, Zone: "a", Capacity: 8, Seq: 1},
		messages.RunnerRecord{ID: "far", Service: "s", Addr: far.addr, Zone: "b", Capacity: 8, Seq: 1},
	)}})
}

func TestRunnersOfUnreachableZoneReceiveNoRequests(t *testing.T) {
	near, far := newRunner(t), newRunner(t)
	router, front, _ := start(t, near)
	router.listInZones(t, near, far)
	router.admissionMu.Lock()
	router.admission.SetUnreachable(map[string]int64{"b": 1}, router.clock())
	router.admissionMu.Unlock()
	before := far.requestCount()
	for range 12 {
		a, _, err := roundTrip(t, front, request("/pay/1", ""))
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode)
	}
	must.Eq(t, before, far.requestCount())
	must.GreaterEq(t, 12, near.requestCount())
}

func TestPingIsAnswered(t *testing.T) {
	router, _, _ := start(t, newRunner(t))
	trans, err := transport.New("127.0.0.1:0", nil, router.log)
	must.NoError(t, err)
	defer trans.Close()
	answered := make(chan int64, 1)
	trans.OnDatagram(transport.KindReachAck, func(_ string, body []byte) {
		var ping messages.ReachPing
		if _, err := ping.UnmarshalMsg(body); err == nil {
			select {
			case answered <- ping.Seq:
			default:
			}
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	trans.Run(ctx)
	for {
		trans.SendDatagram(router.transport.Addr(), transport.KindReachPing, &messages.ReachPing{Seq: 7})
		select {
		case seq := <-answered:
			must.Eq(t, 7, seq)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// requestAcrossPartition makes a request wait at a runner of another zone until that zone is
// unreachable, while a runner of the router's zone joins.
func requestAcrossPartition(t *testing.T, path string) (near *runner, router *Router, answer chan requestResult) {
	t.Helper()
	far, _ := newSilentRunner(t)
	router, front, _ := start(t)
	router.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, messages.RunnerRecord{ID: "r0", Service: "s", Addr: far.addr, Zone: "b", Capacity: 8, Seq: 9})}})
	answer = roundTripAsync(t, front, request(path, "x"))
	awaitRequest(far)
	near = newRunner(t)
	router.addRunner(t, "near", near, 1)
	router.admissionMu.Lock()
	router.admission.SetUnreachable(map[string]int64{"b": 1}, router.clock())
	router.admissionMu.Unlock()
	return near, router, answer
}

func TestRepeatableRequestLeavesUnreachableZone(t *testing.T) {
	for _, path := range []string{"/open/", "/sort/"} {
		near, _, answer := requestAcrossPartition(t, path)
		a := <-answer
		must.NoError(t, a.err)
		must.Eq(t, 200, a.StatusCode)
		must.Eq(t, 1, near.requestCount())
	}
}

func TestRunOnceRequestStaysInUnreachableZone(t *testing.T) {
	near, c, answer := requestAcrossPartition(t, "/pay/1")
	time.Sleep(4 * withdrawInterval)
	must.Eq(t, 0, near.requestCount())
	must.Len(t, 1, c.sent.snapshot())
	a := <-answer // at its deadline
	must.Eq(t, 0, near.requestCount())
	must.NotEq(t, 503, a.StatusCode, must.Sprint("the request may have run"))
}

// A resumable stream continues at a reachable runner after its last event.
func TestResumableStreamLeavesUnreachableRunner(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	far := newRunner(t, streamHead+chunk(first)) // then silent, with the connection open
	router, front, _ := start(t)
	router.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, messages.RunnerRecord{ID: "r0", Service: "s", Addr: far.addr, Zone: "b", Capacity: 8, Seq: 9})}})
	conn, err := net.Dial("tcp4", front)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request("/sort/", "x"))
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	begun := make([]byte, len(first))
	_, err = io.ReadFull(answer.Body, begun)
	must.NoError(t, err)
	must.Eq(t, first, string(begun))
	near := newRunner(t, streamHead+chunk(second)+"0\r\n\r\n")
	router.addRunner(t, "near", near, 1)
	router.admissionMu.Lock()
	router.admission.SetUnreachable(map[string]int64{"b": 1}, router.clock())
	router.admissionMu.Unlock()
	rest, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, second, string(rest))
	must.Eq(t, "1", near.lastRequest().Header.Get(hLastEvent))
}

// streamAcrossPartition makes a runner of another zone begin a stream, makes that zone
// unreachable, and returns the body that the client receives. continueStream writes the rest of
// the stream at that runner.
func streamAcrossPartition(t *testing.T, join func(router *Router), continueStream func(write func(string))) (router *Router, body string) {
	t.Helper()
	cut := make(chan bool)
	far := newRunner(t)
	far.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-cut
		continueStream(write)
	}
	router, front, _ := start(t)
	router.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, messages.RunnerRecord{ID: "r0", Service: "s", Addr: far.addr, Zone: "b", Capacity: 8, Seq: 9})}})
	answer := roundTripAsync(t, front, request("/sort/", "x"))
	awaitRequest(far)
	join(router)
	router.admissionMu.Lock()
	router.admission.SetUnreachable(map[string]int64{"b": 1}, router.clock())
	router.admissionMu.Unlock()
	close(cut)
	a := <-answer
	must.NoError(t, a.err)
	return router, a.body
}

func TestStreamStaysAtUnreachableRunnerWithoutAlternative(t *testing.T) {
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	join := func(router *Router) {
		router.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, messages.RunnerRecord{ID: "gone", Service: "s", Addr: gone.Addr().String(), Zone: "a", Capacity: 8, Seq: 1})}})
	}
	router, body := streamAcrossPartition(t, join, func(write func(string)) {
		time.Sleep(3 * minStreamSilence)
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	})
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	must.Positive(t, router.counters.unreachableStreamsStayed.Load())
	must.Zero(t, router.counters.unreachableStreamsMoved.Load())
}

func TestOnlySilentStreamsLeaveUnreachableRunners(t *testing.T) {
	far := newRunner(t)
	router, _, _ := start(t)
	router.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, messages.RunnerRecord{ID: "r0", Service: "s", Addr: far.addr, Zone: "b", Capacity: 8, Seq: 9})}})
	router.admissionMu.Lock()
	admitted := router.admission.Submit(admission.Request{Service: "s", TimeLeftUs: 1_000_000}, router.clock()).Admission
	router.admissionMu.Unlock()
	must.NotNil(t, admitted)
	router.addRunner(t, "near", newRunner(t), 1)
	router.admissionMu.Lock()
	router.admission.SetUnreachable(map[string]int64{"b": 1}, router.clock())
	router.admissionMu.Unlock()
	conn, err := upstream.Connect(t.Context(), far.addr)
	must.NoError(t, err)
	defer conn.Close()
	streams := &router.movableStreams
	stream := streams.add(admitted, conn, true)
	router.abandonUnreachable()
	withdrawn := streams.clearWithdrawal(stream)
	must.True(t, !withdrawn || conn.SilentFor() >= minStreamSilence, must.Sprint("a connection with recent data must not be left"))
	for conn.SilentFor() < minStreamSilence {
		time.Sleep(minStreamSilence / 10)
	}
	for !streams.clearWithdrawal(stream) {
		router.abandonUnreachable()
	}
	streams.remove(stream)
}
