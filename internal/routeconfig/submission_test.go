package routeconfig

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// newSubmission returns a submission that passed validation.
func newSubmission(raw string, version, base int64) Submission {
	return Submission{Raw: []byte(raw), Version: version, Base: base}
}

func TestSubmissionOutcomeIsFinal(t *testing.T) {
	var empty messages.ConfigBody
	first, err := newSubmission("one", 5, 0).Apply(empty)
	must.NoError(t, err)
	_, err = newSubmission("one", 5, 0).Apply(first)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	_, err = newSubmission("other", 6, 0).Apply(first)
	must.ErrorIs(t, err, ErrVersionConflict)
	var invalid *InvalidError
	_, err = newSubmission("other", 5, 5).Apply(first)
	must.True(t, errors.As(err, &invalid))
	second, err := newSubmission("two", 9, 5).Apply(first)
	must.NoError(t, err)
	_, err = newSubmission("one", 5, 0).Apply(second)
	must.ErrorIs(t, err, ErrAlreadyAccepted, must.Sprint("also after newer versions"))
	_, err = newSubmission("changed", 5, 0).Apply(second)
	must.ErrorIs(t, err, ErrVersionConflict)
}

// A submission whose base is not committed yet is undecided, not rejected: the base may
// still be committed, and then an earlier attempt of the same submission too.
func TestSubmissionOnUnknownBaseIsNotRejected(t *testing.T) {
	first, err := newSubmission("one", 5, 0).Apply(messages.ConfigBody{})
	must.NoError(t, err)
	late := newSubmission("three", 9, 7)
	_, err = late.Apply(first)
	must.ErrorIs(t, err, ErrBaseNotReached)
	late.ValidationErr = &InvalidError{"routes", "rejected by the current checks"}
	_, err = late.Apply(first)
	must.ErrorIs(t, err, ErrBaseNotReached)
	second, err := newSubmission("two", 7, 5).Apply(first)
	must.NoError(t, err)
	late.ValidationErr = nil
	_, err = late.Apply(second)
	must.NoError(t, err)
}

// A configuration accepted under less strict checks is recognized as a repeated submission
// before the current checks, or a body that cannot be parsed, can reject it.
func TestRepeatedSubmissionIsFoundBeforeChecks(t *testing.T) {
	raw := []byte(`{"version":5,"routes":[{"name":"r","kind":"a kind that is no longer one"}]}`)
	cur, err := newSubmission(string(raw), 5, 0).Apply(messages.ConfigBody{})
	must.NoError(t, err)
	cur, err = newSubmission("next", 6, 5).Apply(cur)
	must.NoError(t, err)
	repeated := ParseSubmission(raw)
	must.Error(t, repeated.ValidationErr, must.Sprint("the current checks reject it"))
	must.Eq(t, int64(5), repeated.Version, must.Sprint("the version is found despite the invalid field"))
	must.True(t, repeated.AcceptedIn(cur))
	_, err = repeated.Apply(cur)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	other := ParseSubmission(append(raw, ' '))
	other.Base = 6
	_, err = other.Apply(cur)
	var invalid *InvalidError
	must.True(t, errors.As(err, &invalid), must.Sprint("other bytes are validated"))
	malformed := ParseSubmission([]byte("{"))
	must.Error(t, malformed.ValidationErr)
	must.False(t, malformed.AcceptedIn(cur))
	_, err = malformed.Apply(cur)
	must.True(t, errors.As(err, &invalid))
}

// Only a submission that other checks could accept on this state is contested.
func TestAcceptableWithOtherChecksOnCurrentBaseOnly(t *testing.T) {
	cur := messages.ConfigBody{Version: 5}
	faulty := Submission{Raw: []byte("x"), Version: 6, Base: 5, ValidationErr: &InvalidError{"routes", "no"}}
	must.True(t, faulty.AcceptableWithOtherChecks(cur))
	must.False(t, newSubmission("x", 6, 5).AcceptableWithOtherChecks(cur))
	faulty.Base = 4
	must.False(t, faulty.AcceptableWithOtherChecks(cur))
	faulty.Version, faulty.Base = 0, 5
	must.False(t, faulty.AcceptableWithOtherChecks(cur))
}

// maxEncodedBytes bounds the encoded size of the body with all retained digests.
const maxEncodedBytes = 64 << 10

// The size of the retained digests stays bounded over more changes than are retained, and
// the most recent submissions are still recognized.
func TestAcceptedDigestsAreBounded(t *testing.T) {
	var cur messages.ConfigBody
	var err error
	var sizes []int
	for n := range int64(2 * maxAcceptedDigests) {
		cur, err = newSubmission(fmt.Sprint("c", n), n+1, n).Apply(cur)
		must.NoError(t, err)
		if n%maxAcceptedDigests == maxAcceptedDigests-1 {
			sizes = append(sizes, cur.Msgsize())
		}
	}
	b, err := cur.MarshalMsg(nil)
	must.NoError(t, err)
	t.Logf("%d versions: %d bytes", 2*maxAcceptedDigests, len(b))
	must.Less(t, maxEncodedBytes, len(b))
	must.Between(t, sizes[0]-8, sizes[1], sizes[0]+8)
	for n := int64(maxAcceptedDigests); n < 2*maxAcceptedDigests; n += 61 {
		must.True(t, newSubmission(fmt.Sprint("c", n), n+1, n).AcceptedIn(cur))
	}
}

// Submissions with versions whose digests are no longer retained stay undecided.
func TestSubmissionOlderThanDigestsIsNotRejected(t *testing.T) {
	var cur messages.ConfigBody
	var err error
	for n := range int64(maxAcceptedDigests + 10) {
		cur, err = newSubmission(fmt.Sprint("c", n), 10+n, cur.Version).Apply(cur)
		must.NoError(t, err)
	}
	must.Len(t, maxAcceptedDigests, cur.AcceptedDigest)
	_, err = newSubmission("c0", 10, 0).Apply(cur)
	must.ErrorIs(t, err, ErrDigestExpired)
	_, err = newSubmission("c10", 20, 19).Apply(cur)
	must.ErrorIs(t, err, ErrAlreadyAccepted)
	_, err = newSubmission("other", 20, 19).Apply(cur)
	must.ErrorIs(t, err, ErrVersionConflict)
}
