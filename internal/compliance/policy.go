// Package compliance decides which runners may serve a regulated tenant. Regimes
// and certificates are declared in the operator's configuration; each regime's
// policy is compiled to bytecode when the configuration is checked and run once
// a runner and configuration, not once a request. What a runner says of itself
// certifies nothing.
package compliance

import (
	"fmt"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
)

// Bounds on what a policy may cost.
const (
	maxNodes  = 128
	maxMemory = 10_000
)

// Runner is a runner, or a store, as a policy sees it.
type Runner struct {
	ID      string `expr:"id"`
	Service string `expr:"service"`
	Zone    string `expr:"site"`
}

type sight struct {
	Runner       Runner   `expr:"runner"`
	Certificates []string `expr:"certificates"`
	Regime       string   `expr:"regime"`
}

// byCertificate is the policy of a regime that names none.
const byCertificate = "regime in certificates"

// ErrPolicy is the cause of errors in a policy.
var ErrPolicy = errors.New("compliance: policy")

// Policies are the compiled rules of one configuration. They are not changed.
type Policies struct {
	rules        map[string]*vm.Program
	certificates []api.Certificate
}

// Fault is a declaration that makes no sense.
type Fault struct{ Field, Reason string }

func (f *Fault) Error() string { return fmt.Sprintf("compliance: field %s: %s", f.Field, f.Reason) }

// Compile checks what a configuration declares and compiles its policies.
func Compile(m api.Configuration) (*Policies, error) {
	p := &Policies{rules: map[string]*vm.Program{}, certificates: m.Certificates}
	for i, r := range m.Regimes {
		if p.rules[r.Name] != nil {
			return nil, &Fault{fmt.Sprintf("regimes[%d].name", i), "declared twice"}
		}
		text := r.Policy
		if text == "" {
			text = byCertificate
		}
		prog, err := expr.Compile(text, expr.Env(sight{}), expr.AsBool(), expr.MaxNodes(maxNodes), expr.DisableBuiltin("now"), expr.DisableBuiltin("date"), expr.DisableBuiltin("repeat"))
		if err != nil {
			return nil, &Fault{fmt.Sprintf("regimes[%d].policy", i), err.Error()}
		}
		p.rules[r.Name] = prog
	}
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	for i, c := range m.Certificates {
		at := fmt.Sprintf("certificates[%d]", i)
		switch {
		case p.rules[c.Regime] == nil:
			return nil, &Fault{at + ".regime", fmt.Sprintf("unknown regime %q", c.Regime)}
		case c.Service == "" && c.Zone == "" && len(c.Runners) == 0:
			return nil, &Fault{at, "certifies nothing: name a service, a zone or runners"}
		case c.Service != "" && !services[c.Service]:
			return nil, &Fault{at + ".service", fmt.Sprintf("unknown service %q", c.Service)}
		case slices.Contains(c.Runners, ""):
			return nil, &Fault{at + ".runners", "holds an empty id"}
		}
	}
	for i, t := range m.Tenants {
		if t.Regime != "" && p.rules[t.Regime] == nil {
			return nil, &Fault{fmt.Sprintf("tenants[%d].regime", i), fmt.Sprintf("unknown regime %q", t.Regime)}
		}
	}
	return p, nil
}

// Held names the regimes that a runner is certified for, and by which
// certificate of the configuration.
func (p *Policies) Held(r Runner) (regimes []string, by map[string]int) {
	by = map[string]int{}
	for i, c := range p.certificates {
		if c.Service != "" && c.Service != r.Service || c.Zone != "" && c.Zone != r.Zone || len(c.Runners) > 0 && !slices.Contains(c.Runners, r.ID) {
			continue
		}
		if _, ok := by[c.Regime]; !ok {
			by[c.Regime] = i
			regimes = append(regimes, c.Regime)
		}
	}
	return regimes, by
}

// Allows tells whether a runner may serve a regime, and the certificate it has
// for it (-1: let in by the policy without one). Whatever goes wrong, the
// answer is no.
func (p *Policies) Allows(regime string, r Runner) (certificate int, ok bool) {
	rule := p.rules[regime]
	if rule == nil {
		return -1, false
	}
	held, by := p.Held(r)
	machine := vm.VM{MemoryBudget: maxMemory}
	out, err := machine.Run(rule, sight{Runner: r, Certificates: held, Regime: regime})
	if yes, isBool := out.(bool); err != nil || !isBool || !yes {
		return -1, false
	}
	if i, has := by[regime]; has {
		return i, true
	}
	return -1, true
}

// None tells that no regime is declared.
func (p *Policies) None() bool { return p == nil || len(p.rules) == 0 }

// Names lists the declared regimes.
func (p *Policies) Names() []string {
	var out []string
	for name := range p.rules {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
