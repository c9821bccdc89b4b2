// Package routeconfig is the operator's configuration: checked, replaced by
// compare-and-set, replicated, and compiled for the request path.
//
// Parse reads and checks a configuration; its errors are of type Invalid and name the
// field. Submission decides what becomes of a configuration that is sent on top of a
// version: accepted, accepted before (ErrAlreadyAccepted), overtaken (ErrVersionConflict),
// invalid, or undecided. It is applied inside a round of the register, so its decision
// holds for the committed state. Entries splits a configuration into texts by route,
// service and tenant, so that a change carries only what differs, and an Assembly puts
// it together again. Replica is the configuration of one node; the version in force
// never goes back. Table is the compiled configuration.
//
// A Table is immutable: a request uses the one that it began with, without a lock.
// Replica and Assembly are not safe for concurrent use; router and controller guard
// theirs with a mutex. The package does no I/O and starts no goroutine.
package routeconfig

import (
	"encoding/json"
	"fmt"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
)

// Invalid says which field of a configuration is wrong, and why.
type Invalid struct {
	Field  string
	Reason string
}

func (i *Invalid) Error() string { return fmt.Sprintf("routeconfig: field %s: %s", i.Field, i.Reason) }

var tags = validator.New(validator.WithRequiredStructEnabled())

// Parse reads a configuration and checks it as far as it stands by itself.
func Parse(raw []byte) (api.Configuration, error) {
	var m api.Configuration
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, &Invalid{"(body)", err.Error()}
	}
	if err := tags.Struct(m); err != nil {
		var faults validator.ValidationErrors
		if errors.As(err, &faults) && len(faults) > 0 {
			f := faults[0]
			return m, &Invalid{f.Namespace(), fmt.Sprintf("%v does not satisfy %s %s", f.Value(), f.Tag(), f.Param())}
		}
		return m, &Invalid{"(body)", err.Error()}
	}
	return m, crossCheck(m)
}

// ParseAccepted reads a configuration that was accepted. It is not checked again: what is
// in force stays so, whatever a later release would reject.
func ParseAccepted(raw []byte) (api.Configuration, error) {
	var m api.Configuration
	err := json.Unmarshal(raw, &m)
	return m, errors.Wrap(err, "routeconfig: taken before, and not to be read")
}

// crossCheck checks what the fields of a configuration say of each other: names
// that refer to services, and names that have to be unique.
func crossCheck(m api.Configuration) error {
	if err := checkRoutes(m); err != nil {
		return err
	}
	if err := checkRelinquish(m.Relinquish); err != nil {
		return err
	}
	if err := checkRetired(m); err != nil {
		return err
	}
	if err := checkTenantKeys(m.Tenants); err != nil {
		return err
	}
	_, err := compliance.Compile(m)
	var fault *compliance.ConfigError
	if errors.As(err, &fault) {
		return &Invalid{fault.Field, fault.Reason}
	}
	return err
}

func checkRoutes(m api.Configuration) error {
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	routeAt := map[string]string{} // names of routes by host and prefix
	for i, r := range m.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !r.Kind.Valid() {
			return &Invalid{field + ".kind", fmt.Sprintf("%q is no kind of route", r.Kind)}
		}
		hostAndPrefix := r.Host + r.Prefix
		if other, ok := routeAt[hostAndPrefix]; ok {
			return &Invalid{field + ".prefix", "same host and prefix as route " + other}
		}
		routeAt[hostAndPrefix] = r.Name
		if err := checkRouteServices(r, field, services); err != nil {
			return err
		}
	}
	return nil
}

// checkRouteServices checks that the services of a route exist, and that its shares,
// if it has any, sum to more than 0. field is the path of the route in the
// configuration.
func checkRouteServices(r api.Route, field string, services map[string]bool) error {
	if len(r.Shares) == 0 {
		if !services[r.Service] {
			return &Invalid{field + ".service", fmt.Sprintf("unknown service %q", r.Service)}
		}
		return nil
	}
	var sum float32
	for i, s := range r.Shares {
		if !services[s.Service] {
			return &Invalid{fmt.Sprintf("%s.shares[%d].service", field, i), fmt.Sprintf("unknown service %q", s.Service)}
		}
		sum += s.Gain
	}
	if sum <= 0 {
		return &Invalid{field + ".shares", "gains sum to 0"}
	}
	return nil
}

func checkRelinquish(relinquish []api.Relinquish) error {
	zones := map[string]bool{}
	for i, x := range relinquish {
		if zones[x.Zone] {
			return &Invalid{fmt.Sprintf("relinquish[%d].zone", i), "named twice"}
		}
		zones[x.Zone] = true
	}
	return nil
}

// checkRetired checks the retired weights: each model once, and one that a service has,
// where the services say which models they have.
func checkRetired(m api.Configuration) error {
	models := map[string]bool{}
	for _, s := range m.Services {
		for _, model := range s.Engine.Models {
			models[model.Name] = true
		}
	}
	seen := map[string]bool{}
	for i, r := range m.Retired {
		field := fmt.Sprintf("retired[%d].model", i)
		if seen[r.Model] {
			return &Invalid{field, "named twice"}
		}
		if len(models) > 0 && !models[r.Model] {
			return &Invalid{field, fmt.Sprintf("unknown model %q", r.Model)}
		}
		seen[r.Model] = true
	}
	return nil
}

func checkTenantKeys(tenants []api.Tenant) error {
	owner := map[string]string{}
	for i, t := range tenants {
		for _, k := range t.Keys {
			if o, ok := owner[k]; ok && o != t.Name {
				return &Invalid{fmt.Sprintf("tenants[%d].apiKeys", i), "a key is shared with tenant " + o}
			}
			owner[k] = t.Name
		}
	}
	return nil
}
