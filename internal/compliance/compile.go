package compliance

import (
	"fmt"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"

	"beechtide.org/beechtide/internal/api"
)

// maxNodes bounds the size of a policy's syntax tree.
const maxNodes = 128

// defaultPolicy is the policy of a regime without one: a runner needs a certificate
// for the regime.
const defaultPolicy = "regime in certificates"

// ConfigError reports an invalid declaration of a regime, certificate or tenant in a
// configuration.
type ConfigError struct {
	Field  string // path in the configuration, such as regimes[1].policy
	Reason string
}

func (c *ConfigError) Error() string {
	return fmt.Sprintf("compliance: field %s: %s", c.Field, c.Reason)
}

// Compile validates the regimes, certificates and tenants of a configuration and
// compiles its policies. The error is a *ConfigError for the first invalid field.
func Compile(config api.Configuration) (*Policies, error) {
	programs, err := compileRegimes(config.Regimes)
	if err != nil {
		return nil, err
	}
	p := &Policies{programs: programs, certificates: config.Certificates}
	if err := p.checkCertificates(config.Services); err != nil {
		return nil, err
	}
	for i, tenant := range config.Tenants {
		if tenant.Regime != "" && p.programs[tenant.Regime] == nil {
			return nil, &ConfigError{fmt.Sprintf("tenants[%d].regime", i), fmt.Sprintf("unknown regime %q", tenant.Regime)}
		}
	}
	return p, nil
}

func compileRegimes(regimes []api.Regime) (map[string]*vm.Program, error) {
	programs := map[string]*vm.Program{}
	for i, regime := range regimes {
		if programs[regime.Name] != nil {
			return nil, &ConfigError{fmt.Sprintf("regimes[%d].name", i), "declared twice"}
		}
		program, err := compilePolicy(regime.Policy)
		if err != nil {
			return nil, &ConfigError{fmt.Sprintf("regimes[%d].policy", i), err.Error()}
		}
		programs[regime.Name] = program
	}
	return programs, nil
}

// compilePolicy compiles one policy. A policy cannot read the clock, so that its
// decision depends only on the runner and the configuration, and cannot call repeat,
// whose result may have any size.
func compilePolicy(source string) (*vm.Program, error) {
	if source == "" {
		source = defaultPolicy
	}
	return expr.Compile(
		source,
		expr.Env(policyInput{}),
		expr.AsBool(),
		expr.MaxNodes(maxNodes),
		expr.DisableBuiltin("now"),
		expr.DisableBuiltin("date"),
		expr.DisableBuiltin("repeat"),
	)
}

func (p *Policies) checkCertificates(services []api.Service) error {
	known := map[string]bool{}
	for _, service := range services {
		known[service.Name] = true
	}
	for i, c := range p.certificates {
		field := fmt.Sprintf("certificates[%d]", i)
		switch {
		case p.programs[c.Regime] == nil:
			return &ConfigError{field + ".regime", fmt.Sprintf("unknown regime %q", c.Regime)}
		case c.Service == "" && c.Zone == "" && len(c.Runners) == 0:
			return &ConfigError{field, "certifies nothing: name a service, a zone or runners"}
		case c.Service != "" && !known[c.Service]:
			return &ConfigError{field + ".service", fmt.Sprintf("unknown service %q", c.Service)}
		case slices.Contains(c.Runners, ""):
			return &ConfigError{field + ".runners", "holds an empty id"}
		}
	}
	return nil
}
