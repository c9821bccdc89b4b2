// Package compliance decides which runners may serve a regulated tenant, and stores
// and checks the audit trail of regulated requests.
//
// Regimes and certificates are declared in the operator's configuration. Compile
// compiles each regime's policy to bytecode when a configuration is checked; a policy
// runs once for each runner and configuration, not once for each request. Only the
// configuration certifies a runner, never the runner's own reports. A policy that
// fails or exceeds its memory budget allows nothing.
//
// Policies are immutable and may be shared by goroutines; a Trail is safe for
// concurrent use. The package starts no goroutine.
package compliance

import (
	"slices"

	"github.com/expr-lang/expr/vm"

	"beechtide.org/beechtide/internal/api"
)

// memoryBudget is the maximum allocation of one run of a policy, in units of the
// expression library.
const memoryBudget = 10_000

// noCertificate is the certificate index of a runner without a certificate for a
// regime.
const noCertificate = -1

// Runner holds the attributes of a runner or a cache store that a policy can read.
type Runner struct {
	ID      string `expr:"id"`
	Service string `expr:"service"`
	Zone    string `expr:"site"` // policies written by users use the name site
}

// policyInput holds the variables of a policy.
type policyInput struct {
	Runner       Runner   `expr:"runner"`
	Certificates []string `expr:"certificates"` // regimes that the runner is certified for
	Regime       string   `expr:"regime"`
}

// Policies are the compiled policies and the certificates of one configuration.
// They are immutable.
type Policies struct {
	programs     map[string]*vm.Program // by regime
	certificates []api.Certificate
}

// Allows reports whether a runner may serve a regime. It also returns the index in the
// configuration of the runner's certificate for the regime; -1 if the runner is
// allowed without one or not allowed. An unknown regime and a policy that fails allow
// nothing.
func (p *Policies) Allows(regime string, r Runner) (certificate int, ok bool) {
	program := p.programs[regime]
	if program == nil {
		return noCertificate, false
	}
	regimes, certificates := p.certifiedRegimes(r)
	machine := vm.VM{MemoryBudget: memoryBudget}
	out, err := machine.Run(program, policyInput{Runner: r, Certificates: regimes, Regime: regime})
	if allowed, isBool := out.(bool); err != nil || !isBool || !allowed {
		return noCertificate, false
	}
	if index, certified := certificates[regime]; certified {
		return index, true
	}
	return noCertificate, true
}

// certifiedRegimes returns the regimes that a runner is certified for, and for each
// the index of the first certificate that covers the runner.
func (p *Policies) certifiedRegimes(r Runner) (regimes []string, certificates map[string]int) {
	certificates = map[string]int{}
	for index, c := range p.certificates {
		if !covers(c, r) {
			continue
		}
		if _, known := certificates[c.Regime]; !known {
			certificates[c.Regime] = index
			regimes = append(regimes, c.Regime)
		}
	}
	return regimes, certificates
}

// covers reports whether a certificate covers a runner. An empty field of the
// certificate matches every runner.
func covers(c api.Certificate, r Runner) bool {
	return (c.Service == "" || c.Service == r.Service) &&
		(c.Zone == "" || c.Zone == r.Zone) &&
		(len(c.Runners) == 0 || slices.Contains(c.Runners, r.ID))
}

// IsEmpty reports whether no regime is declared. It may be called on nil.
func (p *Policies) IsEmpty() bool { return p == nil || len(p.programs) == 0 }

// RegimeNames returns the names of the declared regimes in alphabetical order.
func (p *Policies) RegimeNames() []string {
	var names []string
	for name := range p.programs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
