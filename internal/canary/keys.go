package canary

import (
	"strconv"
	"strings"

	"beechtide.org/beechtide/internal/messages"
)

// Outcomes are sent to the controllers as runner loads, under keys of their own, because both
// are summed over all routers in the same way.

const (
	keyPrefix    = "canary"
	keySeparator = "\x1f"
	keyFields    = 5
)

// Side is the side of a comparison whose outcomes a key identifies.
type Side string

// Sides of a comparison.
const (
	NewSide      Side = "new"
	BaselineSide Side = "other"
)

// Key identifies the outcomes of one side of a comparison in messages between nodes.
type Key struct {
	Service    string
	Number     int64 // of the rollout
	Side       Side
	Comparison string
}

// String returns the key in its wire format.
func (k Key) String() string {
	return strings.Join([]string{keyPrefix, k.Service, strconv.FormatInt(k.Number, 10), string(k.Side), k.Comparison}, keySeparator)
}

// ParseKey parses the wire format of a key; ok is false for the ID of a runner.
func ParseKey(text string) (Key, bool) {
	parts := strings.Split(text, keySeparator)
	if len(parts) != keyFields || parts[0] != keyPrefix {
		return Key{}, false
	}
	number, err := strconv.ParseInt(parts[2], 10, 64)
	return Key{Service: parts[1], Number: number, Side: Side(parts[3]), Comparison: parts[4]}, err == nil
}

// Load returns the message that carries an outcome.
func (k Key) Load(o Outcome) messages.RunnerLoad {
	return messages.RunnerLoad{ID: k.String(), Tried: o.Answers, Failed: o.Bad}
}

// Collect stores a load in the evidence if it carries an outcome of the given rollout.
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
		pair.Baseline = outcome
	}
	evidence[key.Comparison] = pair
}
