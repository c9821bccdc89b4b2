package routeconfig

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// bring is an order that today's checks let pass.
func bring(raw string, version, base int64) Submission {
	return Submission{Raw: []byte(raw), Version: version, Base: base}
}

func TestSubmissionOutcomeIsFinal(t *testing.T) {
	var cur messages.ConfigBody
	one, err := bring("one", 5, 0).Apply(cur)
	must.NoError(t, err)
	_, err = bring("one", 5, 0).Apply(one)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	_, err = bring("other", 6, 0).Apply(one)
	must.ErrorIs(t, err, ErrVersionConflict)
	var bad *Invalid
	_, err = bring("other", 5, 5).Apply(one)
	must.True(t, errors.As(err, &bad))
	two, err := bring("two", 9, 5).Apply(one)
	must.NoError(t, err)
	_, err = bring("one", 5, 0).Apply(two)
	must.ErrorIs(t, err, ErrAlreadyAccepted, must.Sprint("also after newer versions"))
	_, err = bring("changed", 5, 0).Apply(two)
	must.ErrorIs(t, err, ErrVersionConflict)
}

// A base that is not in place yet may come into force, and then an earlier try
// of the same order too: that is no time for a refusal.
func TestSubmissionOnUnknownBaseIsNotRejected(t *testing.T) {
	one, err := bring("one", 5, 0).Apply(messages.ConfigBody{})
	must.NoError(t, err)
	late := bring("three", 9, 7)
	_, err = late.Apply(one)
	must.ErrorIs(t, err, ErrBaseNotReached)
	late.Fault = &Invalid{"routes", "refused by today's checks"}
	_, err = late.Apply(one)
	must.ErrorIs(t, err, ErrBaseNotReached)
	two, err := bring("two", 7, 5).Apply(one)
	must.NoError(t, err)
	late.Fault = nil
	_, err = late.Apply(two)
	must.NoError(t, err)
}

// What was taken under checks that were less strict is known again before
// today's checks, or a header that can't be read, may refuse it.
func TestRepeatedSubmissionIsFoundBeforeChecks(t *testing.T) {
	raw := []byte(`{"version":5,"routes":[{"name":"r","kind":"a kind that is no longer one"}]}`)
	cur, err := bring(string(raw), 5, 0).Apply(messages.ConfigBody{})
	must.NoError(t, err)
	cur, err = bring("next", 6, 5).Apply(cur)
	must.NoError(t, err)
	again := ParseSubmission(raw)
	must.Error(t, again.Fault, must.Sprint("today's checks refuse it"))
	must.Eq(t, int64(5), again.Version, must.Sprint("the number is found all the same"))
	must.True(t, again.AcceptedIn(cur))
	_, err = again.Apply(cur)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	other := ParseSubmission(append(raw, ' '))
	other.Base = 6
	_, err = other.Apply(cur)
	var bad *Invalid
	must.True(t, errors.As(err, &bad), must.Sprint("other bytes are checked"))
	unread := ParseSubmission([]byte("{"))
	must.Error(t, unread.Fault)
	must.False(t, unread.AcceptedIn(cur))
	_, err = unread.Apply(cur)
	must.True(t, errors.As(err, &bad))
}

// Only an order that other checks could take on this state needs a sealed refusal.
func TestContestedWhenOtherChecksCouldAccept(t *testing.T) {
	cur := messages.ConfigBody{Version: 5}
	faulty := Submission{Raw: []byte("x"), Version: 6, Base: 5, Fault: &Invalid{"routes", "no"}}
	must.True(t, faulty.Contested(cur))
	must.False(t, bring("x", 6, 5).Contested(cur))
	faulty.Base = 4
	must.False(t, faulty.Contested(cur))
	faulty.Version, faulty.Base = 0, 5
	must.False(t, faulty.Contested(cur))
}

// mostDigestBytes bounds what remembered versions add to the value.
const mostDigestBytes = 64 << 10

// What is remembered stays bounded over more changes than are kept, and every
// one of the last is known again.
func TestAcceptedDigestsAreBounded(t *testing.T) {
	var cur messages.ConfigBody
	var err error
	var sizes []int
	for n := range int64(2 * maxDigests) {
		cur, err = bring(fmt.Sprint("c", n), n+1, n).Apply(cur)
		must.NoError(t, err)
		if n%maxDigests == maxDigests-1 {
			sizes = append(sizes, cur.Msgsize())
		}
	}
	b, err := cur.MarshalMsg(nil)
	must.NoError(t, err)
	t.Logf("%d versions: %d bytes", 2*maxDigests, len(b))
	must.Less(t, mostDigestBytes, len(b))
	must.Between(t, sizes[0]-8, sizes[1], sizes[0]+8)
	for n := int64(maxDigests); n < 2*maxDigests; n += 61 {
		must.True(t, bring(fmt.Sprint("c", n), n+1, n).AcceptedIn(cur))
	}
}

// Versions whose digests are no longer kept are left without a clear answer.
func TestSubmissionOlderThanDigestsIsNotRejected(t *testing.T) {
	var cur messages.ConfigBody
	var err error
	for n := range int64(maxDigests + 10) {
		cur, err = bring(fmt.Sprint("c", n), 10+n, cur.Version).Apply(cur)
		must.NoError(t, err)
	}
	must.Len(t, maxDigests, cur.AcceptedDigest)
	_, err = bring("c0", 10, 0).Apply(cur)
	must.ErrorIs(t, err, ErrDigestExpired)
	_, err = bring("c10", 20, 19).Apply(cur)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	_, err = bring("other", 20, 19).Apply(cur)
	must.ErrorIs(t, err, ErrVersionConflict)
}
