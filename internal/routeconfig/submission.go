// Submission decides the outcome of a configuration that the operator submits with a base
// version: accepted, already accepted, superseded, invalid, or undecided. It has no side
// effects and is applied inside a consensus round of the register, so the decision is made
// on the committed state.

package routeconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
)

// Errors of Apply besides validation errors. The last two are not rejections: the outcome
// is undecided and the caller has to retry the submission.
var (
	ErrAlreadyAccepted = errors.New("routeconfig: taken before")
	ErrVersionConflict = errors.New("routeconfig: another version is in place")
	ErrBaseNotReached  = errors.New("routeconfig: the version that this builds on is not in place yet")
	ErrDigestExpired   = errors.New("routeconfig: too old to tell whether it was taken")
)

// maxAcceptedDigests bounds the number of digests of accepted versions that are retained to detect
// repeated submissions.
const maxAcceptedDigests = 2048

// digestBytes is the length of the SHA-256 prefix that identifies a configuration.
const digestBytes = 16

// Submission is a configuration as sent by the operator. Its validation error is stored
// separately from the bytes because a configuration that was accepted before stays
// accepted even if the current checks reject it.
type Submission struct {
	Raw           []byte
	Version       int64 // 0 if the bytes contain none
	Base          int64
	Retired       []api.Retirement // retired weights; the models must have newer ones
	ValidationErr error
}

// ParseSubmission decodes and validates a configuration. It always returns a submission,
// because an invalid one can still be looked up among the accepted ones.
func ParseSubmission(raw []byte) Submission {
	config, err := Parse(raw)
	submission := Submission{Raw: raw, Version: config.Version, Retired: config.Retired, ValidationErr: err}
	if err != nil {
		submission.Version = versionOf(raw)
	}
	return submission
}

// versionOf decodes the version only, so that it is found even if the current checks reject
// the rest.
func versionOf(raw []byte) int64 {
	var only struct {
		Version int64 `json:"version"`
	}
	if json.Unmarshal(raw, &only) != nil {
		return 0
	}
	return only.Version
}

// AcceptedIn reports whether exactly these bytes were accepted as the current or an earlier
// version. Accepted submissions stay accepted, so a true result is final even for an
// outdated committed state. A false result is reliable only in Apply, inside a consensus
// round.
func (s Submission) AcceptedIn(current messages.ConfigBody) bool {
	_, accepted := AcceptedVersion(current, s.Raw)
	return accepted
}

// AcceptedVersion returns the version under which exactly these bytes were accepted. It
// compares digests only, so a repeated submission is neither parsed nor validated.
func AcceptedVersion(current messages.ConfigBody, raw []byte) (version int64, accepted bool) {
	digest := digestOf(raw)
	for _, t := range current.AcceptedDigest {
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

// Apply returns the next configuration body. It looks up repeated submissions before any
// check. Every rejection stays valid for all later states: versions only increase, so a
// base below the current version never becomes current again, and a version at or below
// its own base is never above the current one. A base above the current version may still
// be committed, and an earlier attempt of this submission after it, so that case is not a
// rejection.
func (s Submission) Apply(current messages.ConfigBody) (messages.ConfigBody, error) {
	switch {
	case s.AcceptedIn(current):
		return current, ErrAlreadyAccepted
	case s.digestExpired(current):
		return current, ErrDigestExpired
	case s.Version <= s.Base:
		return current, s.rejection(&InvalidError{"version", "not above the one that it builds on"})
	case s.Base < current.Version:
		return current, s.rejection(ErrVersionConflict)
	case s.Base > current.Version:
		return current, ErrBaseNotReached
	case s.ValidationErr != nil:
		return current, s.ValidationErr
	}
	return messages.ConfigBody{Version: s.Version, Raw: s.Raw, AcceptedDigest: appendDigest(current.AcceptedDigest, s)}, nil
}

// AcceptableWithOtherChecks reports whether a release with other checks could accept
// the submission on this state, so that some member may have stored an attempt of it. Only
// in that case is the state on which a rejection was decided not enough to make the
// rejection final.
func (s Submission) AcceptableWithOtherChecks(current messages.ConfigBody) bool {
	return s.ValidationErr != nil && s.Base == current.Version && s.Version > current.Version
}

// rejection returns the validation error if there is one, because it is more specific.
func (s Submission) rejection(err error) error {
	if s.ValidationErr != nil {
		return s.ValidationErr
	}
	return err
}

func appendDigest(previous []messages.AcceptedDigest, submission Submission) []messages.AcceptedDigest {
	digests := append(append([]messages.AcceptedDigest{}, previous...), messages.AcceptedDigest{Version: submission.Version, Digest: digestOf(submission.Raw)})
	if len(digests) > maxAcceptedDigests {
		digests = digests[len(digests)-maxAcceptedDigests:]
	}
	return digests
}

// digestExpired reports whether the submission may have been accepted so long ago that its
// digest is no longer retained. Digests are in the order of their versions, so this is
// possible only for versions below the oldest retained one.
func (s Submission) digestExpired(current messages.ConfigBody) bool {
	full := len(current.AcceptedDigest) >= maxAcceptedDigests
	return full && s.Version > s.Base && s.Version < current.AcceptedDigest[0].Version
}
