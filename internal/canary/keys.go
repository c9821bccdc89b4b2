package canary

import (
	"strconv"
	"strings"

	"beechtide.org/beechtide/internal/messages"
)

// Outcomes travel with the loads of runners, under keys of their own: the sums over all routers
// come to the controllers in the same way.

const (
	evidencePrefix = "canary"
	keySeparator   = "\x1f"
	keyFields      = 5
)

// Side says which versions outcomes are of.
type Side string

// Sides of a comparison.
const (
	NewSide   Side = "new"
	OtherSide Side = "other"
)

// Key names outcomes on their way through the fleet.
type Key struct {
	Service    string
	Number     int64 // of the rollout
	Side       Side
	Comparison string
}

// String returns the key as it is sent.
func (k Key) String() string {
	return strings.Join([]string{evidencePrefix, k.Service, strconv.FormatInt(k.Number, 10), string(k.Side), k.Comparison}, keySeparator)
}

// ParseKey returns the key that a text is, and false for the key of a runner's load.
func ParseKey(text string) (Key, bool) {
	parts := strings.Split(text, keySeparator)
	if len(parts) != keyFields || parts[0] != evidencePrefix {
		return Key{}, false
	}
	number, err := strconv.ParseInt(parts[2], 10, 64)
	return Key{Service: parts[1], Number: number, Side: Side(parts[3]), Comparison: parts[4]}, err == nil
}

// Load returns an outcome in the form in which it is sent.
func (k Key) Load(o Outcome) messages.RunnerLoad {
	return messages.RunnerLoad{ID: k.String(), Tried: o.Answers, Failed: o.Bad}
}

// Collect adds a load to the evidence, if it is an outcome of the given rollout.
func Collect(evidence Evidence, rollout messages.ServiceRollout, id string, load messages.RunnerLoad) {
	key, ok := ParseKey(id)
	if !ok || key.Service != rollout.Service || key.Number != rollout.Number {
		return
	}
	pair := evidence[key.Comparison]
	outcome := Outcome{Answers: max(load.Tried, 0), Bad: max(load.Failed, 0)}
	if key.Side == NewSide {
		pair.New = outcome
	} else {
		pair.Other = outcome
	}
	evidence[key.Comparison] = pair
}
