// Order decides what becomes of a configuration that the operator sends on top of a
// version: accepted, accepted before, overtaken, invalid, or undecided. It is pure; it
// is applied inside a round of the register, so its answer holds for the committed
// state.

package routeconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// What Apply may answer besides an Invalid. The last two are no refusals: the
// caller is to repeat the order.
var (
	ErrTakenBefore = errors.New("routeconfig: taken before")
	ErrOvertaken   = errors.New("routeconfig: another version is in place")
	ErrBaseUnknown = errors.New("routeconfig: the version that this builds on is not in place yet")
	ErrForgotten   = errors.New("routeconfig: too old to tell whether it was taken")
)

// keepTaken bounds how many accepted versions are remembered for repeats.
const keepTaken = 2048

// digestBytes is how much of a SHA-256 sum tells configurations apart.
const digestBytes = 16

// Order is a configuration as the operator sent it. Fault says why it can't be
// taken; it is kept apart from the order, as one that was taken before stays
// taken, whatever is checked today.
type Order struct {
	Raw     []byte
	Version int64 // 0 where the bytes name none
	Base    int64
	Fault   error
}

// ReadOrder reads and checks a configuration. It always returns an order: one
// with a fault can still be looked up among those that were taken.
func ReadOrder(raw []byte) Order {
	config, err := Parse(raw)
	o := Order{Raw: raw, Version: config.Version, Fault: err}
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

// TakenIn tells whether these very bytes were taken, now or in an earlier
// version. What was taken stays taken, so a yes holds for any committed state,
// be it old; a no is for Apply to say, inside a round.
func (o Order) TakenIn(cur messages.ConfigBody) bool {
	_, taken := TakenAs(cur, o.Raw)
	return taken
}

// TakenAs gives the version under which these very bytes were taken. It needs
// nothing but the bytes, so a repeat costs no reading and no checks.
func TakenAs(cur messages.ConfigBody, raw []byte) (version int64, taken bool) {
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

// Apply makes the next body from the current one. The look for a repeat comes
// before anything that may refuse. Every refusal after it stays right for all
// later states: versions only rise, so a base below the current version never
// comes back, and a version at or below its own base is never above the
// current one. A base above the current version may still come into force, and
// an earlier try of this order with it; that is no refusal.
func (o Order) Apply(cur messages.ConfigBody) (messages.ConfigBody, error) {
	switch {
	case o.TakenIn(cur):
		return cur, ErrTakenBefore
	case o.forgottenIn(cur):
		return cur, ErrForgotten
	case o.Version <= o.Base:
		return cur, o.refusal(&Invalid{"version", "not above the one that it builds on"})
	case o.Base < cur.Version:
		return cur, o.refusal(ErrOvertaken)
	case o.Base > cur.Version:
		return cur, ErrBaseUnknown
	case o.Fault != nil:
		return cur, o.Fault
	}
	return messages.ConfigBody{Version: o.Version, Raw: o.Raw, AcceptedDigest: remember(cur.AcceptedDigest, o)}, nil
}

// Contested tells whether a program with other checks could take the order on
// this state, so that a try of it may stand at some member: only then does a
// refusal need more than the state that it was decided on.
func (o Order) Contested(cur messages.ConfigBody) bool {
	return o.Fault != nil && o.Base == cur.Version && o.Version > cur.Version
}

// refusal names the fault where there is one, as it says more.
func (o Order) refusal(err error) error {
	if o.Fault != nil {
		return o.Fault
	}
	return err
}

func remember(before []messages.AcceptedDigest, o Order) []messages.AcceptedDigest {
	taken := append(append([]messages.AcceptedDigest{}, before...), messages.AcceptedDigest{Version: o.Version, Digest: digestOf(o.Raw)})
	if len(taken) > keepTaken {
		taken = taken[len(taken)-keepTaken:]
	}
	return taken
}

// forgottenIn tells whether the order may have been taken so long ago that its
// digest is no longer kept. Digests go in order of their versions, so only
// versions below the oldest that is kept are in doubt.
func (o Order) forgottenIn(cur messages.ConfigBody) bool {
	full := len(cur.AcceptedDigest) >= keepTaken
	return full && o.Version > o.Base && o.Version < cur.AcceptedDigest[0].Version
}
