// Replace decides what becomes of a configuration that the operator sends on
// top of a version: taken, taken before, overtaken or invalid. It is pure; the
// registers calls it inside a round, so its answer holds for the committed state.
package routeconfig

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// What Replace may answer besides an Invalid.
var (
	ErrTakenBefore = errors.New("routeconfig: taken before")
	ErrOvertaken   = errors.New("routeconfig: another version is in place")
)

// keepTaken bounds how many accepted versions are remembered for repeats.
const keepTaken = 2048

// Replace makes the next body from the current one.
func Replace(cur messages.ConfigBody, raw []byte, version, base int64) (messages.ConfigBody, error) {
	sum := sha256.Sum256(raw)
	digest := sum[:16]
	for _, t := range cur.AcceptedDigest {
		if t.Version == version && bytes.Equal(t.Digest, digest) {
			return cur, ErrTakenBefore
		}
	}
	if cur.Version != base {
		return cur, ErrOvertaken
	}
	if version <= cur.Version {
		return cur, &Invalid{"version", "not above the current one"}
	}
	taken := append(append([]messages.AcceptedDigest{}, cur.AcceptedDigest...), messages.AcceptedDigest{Version: version, Digest: digest})
	if len(taken) > keepTaken {
		taken = taken[len(taken)-keepTaken:]
	}
	return messages.ConfigBody{Version: version, Raw: raw, AcceptedDigest: taken}, nil
}
