// Package compliance decides which runners may serve a regulated tenant, and
// keeps and checks the audit trail of what was decided.
//
// Regimes and certificates are declared in the operator's configuration. Compile
// turns each regime's policy into bytecode when a configuration is checked; a
// policy runs once for each runner and configuration, not once for each request.
// What a runner says of itself certifies nothing. A policy that fails, or costs
// more than its budget, allows nothing.
//
// Policies are immutable and may be shared by goroutines; a Trail guards itself.
// The package starts no goroutine.
package compliance

import (
	"slices"

	"github.com/expr-lang/expr/vm"

	"beechtide.org/beechtide/internal/api"
)

// memoryBudget bounds what one run of a policy may allocate, in the units of
// the expression library.
const memoryBudget = 10_000

// noCertificate stands for a runner that has no certificate for a regime.
const noCertificate = -1

// Runner is a runner, or a cache store, as a policy sees it.
type Runner struct {
	ID      string `expr:"id"`
	Service string `expr:"service"`
	Zone    string `expr:"site"` // the name in the users' policies
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

// Allows tells whether a runner may serve a regime, and the index in the
// configuration of the certificate it has for it: -1 where the policy allows it
// without one. An unknown regime and a policy that fails allow nothing.
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

// certifiedRegimes names the regimes that a runner is certified for, and for
// each the index of the first certificate that covers the runner.
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

// covers tells whether a certificate covers a runner. A field that the
// certificate leaves empty covers every runner.
func covers(c api.Certificate, r Runner) bool {
	return (c.Service == "" || c.Service == r.Service) &&
		(c.Zone == "" || c.Zone == r.Zone) &&
		(len(c.Runners) == 0 || slices.Contains(c.Runners, r.ID))
}

// None tells that no regime is declared; nil Policies have none.
func (p *Policies) None() bool { return p == nil || len(p.programs) == 0 }

// Names lists the declared regimes in alphabetical order.
func (p *Policies) Names() []string {
	var names []string
	for name := range p.programs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
