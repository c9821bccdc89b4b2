package rollout

import (
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

const (
	// maxNamings bounds how many versions of a model are remembered with the moment
	// of their naming. A runner behind all of them has the deadline of the oldest.
	maxNamings = 16
	// RecalledUs is how long after the start of a process what it learns may have
	// been committed long ago.
	RecalledUs = int64(2_000_000)
)

// Namings keep, for each model, when this process learned of each version. What it
// learns just after its start counts as named a whole bound ago: how long ago it was
// is not known, and orders that go out early do no harm.
type Namings struct {
	startUs int64
	boundUs int64
	byModel map[string][]Naming
}

// NewNamings are those of a process that started at startUs.
func NewNamings(startUs, boundUs int64) *Namings {
	return &Namings{startUs: startUs, boundUs: boundUs, byModel: map[string][]Naming{}}
}

// Learn takes the targets of a register that was learned as committed at nowUs. A
// version that is not above the newest one known changes nothing.
func (n *Namings) Learn(targets []messages.Target, nowUs int64) {
	namedUs := nowUs
	if nowUs-n.startUs < RecalledUs {
		namedUs = nowUs - n.boundUs
	}
	for _, t := range targets {
		if t.Version <= n.Newest(t.Model) {
			continue
		}
		known := append(n.byModel[t.Model], Naming{t.Version, namedUs})
		if len(known) > maxNamings {
			known = known[1:]
		}
		n.byModel[t.Model] = known
	}
}

// Models names the models of which a version is known, in order.
func (n *Namings) Models() []string { return slices.Sorted(maps.Keys(n.byModel)) }

// Of lists the versions of a model, oldest first.
func (n *Namings) Of(model string) []Naming { return n.byModel[model] }

// Newest is the newest version of a model, 0 where none was named.
func (n *Namings) Newest(model string) int64 {
	known := n.byModel[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// Name records a model's newest version in the body of a register, and tells whether
// that changed it. Where the lease was never held, holder gets it with the same
// change, unless it is empty.
func Name(body *messages.LeaseBody, target messages.Target, holder string) (changed bool) {
	i := slices.IndexFunc(body.Targets, func(t messages.Target) bool { return t.Model == target.Model })
	switch {
	case i < 0:
		body.Targets = append(body.Targets, target)
	case body.Targets[i].Version >= target.Version:
		return false
	default:
		body.Targets[i].Version = target.Version
	}
	if body.Lease.Holder == "" && holder != "" {
		body.Lease = messages.Lease{Holder: holder, Fence: InitialFence}
	}
	return true
}

// InitialFence is the fence of a lease that nobody held before.
const InitialFence = 1
