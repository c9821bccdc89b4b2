// Package routeconfig validates the operator's configuration, replaces it by
// compare-and-set, replicates it, and compiles it for the request path.
//
// Parse decodes and validates a configuration; its errors name the field. Submission
// decides the outcome of a configuration submitted with a base version: accepted, already
// accepted (ErrAlreadyAccepted), superseded (ErrVersionConflict), invalid, or undecided. It
// is applied inside a consensus round of the register, so the decision is made on the
// committed state. Entries splits a configuration into JSON texts by route, service and
// tenant, so that a change contains only the differences, and an Assembly rebuilds the
// configuration from them. Replica is the configuration of one node; its version never
// decreases. Table is the compiled configuration.
//
// A Table is immutable: a request uses one table from start to end, without a lock.
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

// InvalidError is the error for a configuration with an invalid field.
type InvalidError struct {
	Field  string
	Reason string
}

func (i *InvalidError) Error() string {
	return fmt.Sprintf("routeconfig: field %s: %s", i.Field, i.Reason)
}

var structValidator = validator.New(validator.WithRequiredStructEnabled())

// Parse decodes a configuration and validates it without reference to any other state.
func Parse(raw []byte) (api.Configuration, error) {
	var config api.Configuration
	if err := json.Unmarshal(raw, &config); err != nil {
		return config, &InvalidError{"(body)", err.Error()}
	}
	if err := structValidator.Struct(config); err != nil {
		var fieldErrors validator.ValidationErrors
		if errors.As(err, &fieldErrors) && len(fieldErrors) > 0 {
			fieldError := fieldErrors[0]
			return config, &InvalidError{fieldError.Namespace(), fmt.Sprintf("%v does not satisfy %s %s", fieldError.Value(), fieldError.Tag(), fieldError.Param())}
		}
		return config, &InvalidError{"(body)", err.Error()}
	}
	return config, crossCheck(config)
}

// ParseAccepted decodes a configuration that was accepted before. It does not validate it
// again: an active configuration stays active even if a later release would reject it.
func ParseAccepted(raw []byte) (api.Configuration, error) {
	var config api.Configuration
	err := json.Unmarshal(raw, &config)
	return config, errors.Wrap(err, "routeconfig: taken before, and not to be read")
}

// crossCheck validates the relations between fields: references to services and models,
// and names that must be unique.
func crossCheck(config api.Configuration) error {
	if err := checkRoutes(config); err != nil {
		return err
	}
	if err := checkRelinquish(config.Relinquish); err != nil {
		return err
	}
	if err := checkRetired(config); err != nil {
		return err
	}
	if err := checkTenantKeys(config.Tenants); err != nil {
		return err
	}
	_, err := compliance.Compile(config)
	var configError *compliance.ConfigError
	if errors.As(err, &configError) {
		return &InvalidError{configError.Field, configError.Reason}
	}
	return err
}

func checkRoutes(config api.Configuration) error {
	serviceNames := map[string]bool{}
	for _, s := range config.Services {
		serviceNames[s.Name] = true
	}
	routeAt := map[string]string{} // route names by host and prefix
	for i, r := range config.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !r.Kind.Valid() {
			return &InvalidError{field + ".kind", fmt.Sprintf("%q is no kind of route", r.Kind)}
		}
		hostAndPrefix := r.Host + r.Prefix
		if other, ok := routeAt[hostAndPrefix]; ok {
			return &InvalidError{field + ".prefix", "same host and prefix as route " + other}
		}
		routeAt[hostAndPrefix] = r.Name
		if err := checkRouteServices(r, field, serviceNames); err != nil {
			return err
		}
	}
	return nil
}

// checkRouteServices checks that the services of a route exist and that the gains of its
// shares, if it has any, sum to more than 0. field is the path of the route in the
// configuration.
func checkRouteServices(r api.Route, field string, serviceNames map[string]bool) error {
	if len(r.Shares) == 0 {
		if !serviceNames[r.Service] {
			return &InvalidError{field + ".service", fmt.Sprintf("unknown service %q", r.Service)}
		}
		return nil
	}
	var sum float32
	for i, s := range r.Shares {
		if !serviceNames[s.Service] {
			return &InvalidError{fmt.Sprintf("%s.shares[%d].service", field, i), fmt.Sprintf("unknown service %q", s.Service)}
		}
		sum += s.Gain
	}
	if sum <= 0 {
		return &InvalidError{field + ".shares", "gains sum to 0"}
	}
	return nil
}

func checkRelinquish(relinquish []api.Relinquish) error {
	zones := map[string]bool{}
	for i, x := range relinquish {
		if zones[x.Zone] {
			return &InvalidError{fmt.Sprintf("relinquish[%d].zone", i), "named twice"}
		}
		zones[x.Zone] = true
	}
	return nil
}

// checkRetired checks that each model with retired weights is listed once and, if any
// service lists its models, that a service has the model.
func checkRetired(config api.Configuration) error {
	models := map[string]bool{}
	for _, s := range config.Services {
		for _, model := range s.Engine.Models {
			models[model.Name] = true
		}
	}
	seen := map[string]bool{}
	for i, r := range config.Retired {
		field := fmt.Sprintf("retired[%d].model", i)
		if seen[r.Model] {
			return &InvalidError{field, "named twice"}
		}
		if len(models) > 0 && !models[r.Model] {
			return &InvalidError{field, fmt.Sprintf("unknown model %q", r.Model)}
		}
		seen[r.Model] = true
	}
	return nil
}

func checkTenantKeys(tenants []api.Tenant) error {
	ownerByKey := map[string]string{}
	for i, t := range tenants {
		for _, k := range t.Keys {
			if o, ok := ownerByKey[k]; ok && o != t.Name {
				return &InvalidError{fmt.Sprintf("tenants[%d].apiKeys", i), "a key is shared with tenant " + o}
			}
			ownerByKey[k] = t.Name
		}
	}
	return nil
}
