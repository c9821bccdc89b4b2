// Submission decides what becomes of a configuration that the operator sends on top of a
// version: accepted, accepted before, overtaken, invalid, or undecided. It is pure; it
// is applied inside a round of the register, so its answer holds for the committed
// state.

package routeconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
)

// Errors of Apply besides Invalid. The last two are no rejections: the caller has to repeat
// the submission.
var (
	ErrAlreadyAccepted = errors.New("routeconfig: taken before")
	ErrVersionConflict = errors.New("routeconfig: another version is in place")
	ErrBaseNotReached  = errors.New("routeconfig: the version that this builds on is not in place yet")
	ErrDigestExpired   = errors.New("routeconfig: too old to tell whether it was taken")
)

// maxDigests bounds how many accepted versions are remembered, to know repeated submissions.
const maxDigests = 2048

// digestBytes is how much of a SHA-256 sum tells configurations apart.
const digestBytes = 16

// Submission is a configuration as the operator sent it. Fault says why it is invalid; it is
// kept apart from the bytes, as a configuration that was accepted before stays accepted,
// whatever is checked today.
type Submission struct {
	Raw     []byte
	Version int64 // 0 where the bytes name none
	Base    int64
	Retired []api.Retirement // whose models have to have newer weights
	Fault   error
}

// ParseSubmission reads and checks a configuration. It always returns a submission: one
// with a fault can still be looked up among those that were accepted.
func ParseSubmission(raw []byte) Submission {
	config, err := Parse(raw)
	o := Submission{Raw: raw, Version: config.Version, Retired: config.Retired, Fault: err}
	if err != nil {
		o.Version = versionOf(raw)
	}
	return o
}

// versionOf reads nothing but the number, so that it is found in bytes that the
// checks of today refuse.
func versionOf(raw []byte) int64 {
	var only struct {
		Version int64 `json:"version"`
	}
	if json.Unmarshal(raw, &only) != nil {
		return 0
	}
	return only.Version
}

// AcceptedIn reports whether these very bytes were accepted, now or in an earlier version.
// What was accepted stays accepted, so true holds for any committed state, be it old;
// false is for Apply to say, inside a round.
func (o Submission) AcceptedIn(cur messages.ConfigBody) bool {
	_, accepted := AcceptedVersion(cur, o.Raw)
	return accepted
}

// AcceptedVersion returns the version under which these very bytes were accepted. It needs
// nothing but the bytes, so a repeated submission is neither parsed nor checked.
func AcceptedVersion(cur messages.ConfigBody, raw []byte) (version int64, accepted bool) {
	digest := digestOf(raw)
	for _, t := range cur.AcceptedDigest {
		if bytes.Equal(t.Digest, digest) {
			return t.Version, true
		}
	}
	return 0, false
}

func digestOf(raw []byte) []byte {
	sum := sha256.Sum256(raw)
	return sum[:digestBytes]
}

// Apply makes the next body from the current one. A repeated submission is
// looked for before any check. Every rejection after it stays right for all
// later states: versions only rise, so a base below the current version never
// comes back, and a version at or below its own base is never above the
// current one. A base above the current version may still come into force, and
// an earlier attempt of this submission with it; that is no rejection.
func (o Submission) Apply(cur messages.ConfigBody) (messages.ConfigBody, error) {
	switch {
	case o.AcceptedIn(cur):
		return cur, ErrAlreadyAccepted
	case o.digestExpired(cur):
		return cur, ErrDigestExpired
	case o.Version <= o.Base:
		return cur, o.rejection(&Invalid{"version", "not above the one that it builds on"})
	case o.Base < cur.Version:
		return cur, o.rejection(ErrVersionConflict)
	case o.Base > cur.Version:
		return cur, ErrBaseNotReached
	case o.Fault != nil:
		return cur, o.Fault
	}
	return messages.ConfigBody{Version: o.Version, Raw: o.Raw, AcceptedDigest: appendDigest(cur.AcceptedDigest, o)}, nil
}

// Contested reports whether a release with other checks could accept the submission on
// this state, so that an attempt of it may stand at some member: only then does a
// rejection need more than the state that it was decided on.
func (o Submission) Contested(cur messages.ConfigBody) bool {
	return o.Fault != nil && o.Base == cur.Version && o.Version > cur.Version
}

// rejection returns the fault where there is one, as it says more.
func (o Submission) rejection(err error) error {
	if o.Fault != nil {
		return o.Fault
	}
	return err
}

func appendDigest(before []messages.AcceptedDigest, o Submission) []messages.AcceptedDigest {
	digests := append(append([]messages.AcceptedDigest{}, before...), messages.AcceptedDigest{Version: o.Version, Digest: digestOf(o.Raw)})
	if len(digests) > maxDigests {
		digests = digests[len(digests)-maxDigests:]
	}
	return digests
}

// digestExpired reports whether the submission may have been accepted so long ago that its
// digest is no longer kept. Digests go in order of their versions, so only
// versions below the oldest that is kept are in doubt.
func (o Submission) digestExpired(cur messages.ConfigBody) bool {
	full := len(cur.AcceptedDigest) >= maxDigests
	return full && o.Version > o.Base && o.Version < cur.AcceptedDigest[0].Version
}
