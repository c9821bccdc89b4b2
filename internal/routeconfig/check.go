// Package routeconfig is the operator's configuration: checked, replaced by
// compare-and-set, replicated, and compiled for the request path.
//
// Parse reads and checks a configuration; its errors are of type Invalid and name the
// field. Order decides what becomes of a configuration that is sent on top of a
// version: accepted, accepted before (ErrTakenBefore), overtaken (ErrOvertaken),
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

// ReadTaken reads a configuration that was taken. It is not checked again: what
// is in force stays so, whatever a later version of the program would refuse.
func ReadTaken(raw []byte) (api.Configuration, error) {
	var m api.Configuration
	err := json.Unmarshal(raw, &m)
	return m, errors.Wrap(err, "routeconfig: taken before, and not to be read")
}

func crossCheck(m api.Configuration) error {
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	places := map[string]string{}
	for i, r := range m.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		if !r.Kind.Valid() {
			return &Invalid{at + ".kind", fmt.Sprintf("%q is no kind of route", r.Kind)}
		}
		place := r.Host + r.Prefix
		if other, ok := places[place]; ok {
			return &Invalid{at + ".prefix", "same host and prefix as route " + other}
		}
		places[place] = r.Name
		if len(r.Shares) == 0 {
			if !services[r.Service] {
				return &Invalid{at + ".service", fmt.Sprintf("unknown service %q", r.Service)}
			}
			continue
		}
		var sum float32
		for j, s := range r.Shares {
			if !services[s.Service] {
				return &Invalid{fmt.Sprintf("%s.shares[%d].service", at, j), fmt.Sprintf("unknown service %q", s.Service)}
			}
			sum += s.Gain
		}
		if sum <= 0 {
			return &Invalid{at + ".shares", "gains sum to 0"}
		}
	}
	left := map[string]bool{}
	for i, x := range m.Relinquish {
		if left[x.Zone] {
			return &Invalid{fmt.Sprintf("relinquish[%d].zone", i), "named twice"}
		}
		left[x.Zone] = true
	}
	owner := map[string]string{}
	for i, t := range m.Tenants {
		for _, k := range t.Keys {
			if o, ok := owner[k]; ok && o != t.Name {
				return &Invalid{fmt.Sprintf("tenants[%d].apiKeys", i), "a key is shared with tenant " + o}
			}
			owner[k] = t.Name
		}
	}
	_, err := compliance.Compile(m)
	var fault *compliance.ConfigError
	if errors.As(err, &fault) {
		return &Invalid{fault.Field, fault.Reason}
	}
	return err
}
