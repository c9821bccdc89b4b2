// A configuration is sent between nodes as entries: JSON texts by route, service, tenant
// and so on, so that a change contains only the differences. An Assembly rebuilds a
// configuration from entries and parses only those that changed.

package routeconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
)

// ErrEntry is returned for an entry that cannot be encoded or decoded.
var ErrEntry = errors.New("routeconfig: entry")

// Kinds of entries. The number in a key distinguishes entries with the same name.
const (
	routeEntry       = "route"
	serviceEntry     = "service"
	tenantEntry      = "tenant"
	certificateEntry = "certificate"
	regimeEntry      = "regime"
	settingsEntry    = "rest"
)

// entrySet has the entries of a configuration by key.
type entrySet map[string]string

// add encodes a value and stores it by kind, name and the first unused number, which
// distinguishes entries with the same name.
func (e entrySet) add(kind, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(ErrEntry, err.Error())
	}
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s/%03d/%s", kind, n, name)
		if _, exists := e[key]; !exists {
			e[key] = string(encoded)
			return nil
		}
	}
}

// addAll adds the items of a list, each under the name returned by nameOf.
func addAll[T any](e entrySet, kind string, items []T, nameOf func(i int, item T) string) error {
	for i, item := range items {
		if err := e.add(kind, nameOf(i, item), item); err != nil {
			return err
		}
	}
	return nil
}

// Entries splits a configuration into JSON texts by key. The error is ErrEntry.
func Entries(config api.Configuration) (map[string]string, error) {
	out := entrySet{}
	if err := addAll(out, routeEntry, config.Routes, func(_ int, r api.Route) string { return r.Host + r.Prefix }); err != nil {
		return nil, err
	}
	if err := addAll(out, serviceEntry, config.Services, func(_ int, s api.Service) string { return s.Name }); err != nil {
		return nil, err
	}
	if err := addAll(out, tenantEntry, config.Tenants, func(_ int, t api.Tenant) string { return t.Name }); err != nil {
		return nil, err
	}
	if err := addAll(out, certificateEntry, config.Certificates, func(i int, _ api.Certificate) string { return fmt.Sprintf("%04d", i) }); err != nil {
		return nil, err
	}
	if err := addAll(out, regimeEntry, config.Regimes, func(_ int, r api.Regime) string { return r.Name }); err != nil {
		return nil, err
	}
	rest := api.Configuration{Version: config.Version, Limits: config.Limits, Relinquish: config.Relinquish, Retired: config.Retired, Routes: []api.Route{}, Services: []api.Service{}}
	return out, out.add(settingsEntry, "", rest)
}

// Assembly is a configuration that is updated entry by entry. The zero Assembly is empty.
type Assembly struct {
	parsed map[string]any
}

// Apply applies entries; an empty text deletes an entry. If snapshot is set, the entries
// replace all existing ones. On an error the assembly is unchanged.
func (a *Assembly) Apply(entries map[string]string, snapshot bool) error {
	parsed := map[string]any{}
	if !snapshot {
		for k, v := range a.parsed {
			parsed[k] = v
		}
	}
	for k, text := range entries {
		if text == "" {
			delete(parsed, k)
			continue
		}
		v, err := parseEntry(k, text)
		if err != nil {
			return err
		}
		parsed[k] = v
	}
	a.parsed = parsed
	return nil
}

func parseEntry(key, text string) (any, error) {
	kind, _, _ := strings.Cut(key, "/")
	var v any
	switch kind {
	case routeEntry:
		v = &api.Route{}
	case serviceEntry:
		v = &api.Service{}
	case tenantEntry:
		v = &api.Tenant{}
	case certificateEntry:
		v = &api.Certificate{}
	case regimeEntry:
		v = &api.Regime{}
	case settingsEntry:
		v = &api.Configuration{}
	default:
		return nil, errors.Wrap(ErrEntry, key)
	}
	if err := json.Unmarshal([]byte(text), v); err != nil {
		return nil, errors.Wrap(ErrEntry, err.Error())
	}
	return v, nil
}

// Configuration builds the configuration from the current entries.
func (a *Assembly) Configuration() api.Configuration {
	keys := make([]string, 0, len(a.parsed))
	for k := range a.parsed {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var config api.Configuration
	for _, k := range keys {
		switch v := a.parsed[k].(type) {
		case *api.Route:
			config.Routes = append(config.Routes, *v)
		case *api.Service:
			config.Services = append(config.Services, *v)
		case *api.Tenant:
			config.Tenants = append(config.Tenants, *v)
		case *api.Certificate:
			config.Certificates = append(config.Certificates, *v)
		case *api.Regime:
			config.Regimes = append(config.Regimes, *v)
		case *api.Configuration:
			config.Version, config.Limits, config.Relinquish, config.Retired = v.Version, v.Limits, v.Relinquish, v.Retired
		}
	}
	return config
}
