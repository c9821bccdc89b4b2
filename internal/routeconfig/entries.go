// Entries split a configuration into texts by route, service, tenant and so on, which
// is how it travels between nodes: a change carries only what differs. An Assembly
// puts a configuration together again and parses only the entries that changed.

package routeconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
)

// ErrEntry means that an entry cannot be read.
var ErrEntry = errors.New("routeconfig: entry")

// Kinds of entries. The number after the name tells entries of one name apart.
const (
	routeEntry       = "route"
	serviceEntry     = "service"
	tenantEntry      = "tenant"
	certificateEntry = "certificate"
	regimeEntry      = "regime"
	restEntry        = "rest"
)

// entrySet collects the entries of a configuration by key.
type entrySet map[string]string

// add encodes a value under its kind and name. The first free number keeps entries of
// one name apart.
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

// addAll adds the items of a list, each under the name that nameOf gives it.
func addAll[T any](e entrySet, kind string, items []T, nameOf func(i int, item T) string) error {
	for i, item := range items {
		if err := e.add(kind, nameOf(i, item), item); err != nil {
			return err
		}
	}
	return nil
}

// Entries splits a configuration into JSON texts by key. The error is ErrEntry.
func Entries(m api.Configuration) (map[string]string, error) {
	out := entrySet{}
	if err := addAll(out, routeEntry, m.Routes, func(_ int, r api.Route) string { return r.Host + r.Prefix }); err != nil {
		return nil, err
	}
	if err := addAll(out, serviceEntry, m.Services, func(_ int, s api.Service) string { return s.Name }); err != nil {
		return nil, err
	}
	if err := addAll(out, tenantEntry, m.Tenants, func(_ int, t api.Tenant) string { return t.Name }); err != nil {
		return nil, err
	}
	if err := addAll(out, certificateEntry, m.Certificates, func(i int, _ api.Certificate) string { return fmt.Sprintf("%04d", i) }); err != nil {
		return nil, err
	}
	if err := addAll(out, regimeEntry, m.Regimes, func(_ int, r api.Regime) string { return r.Name }); err != nil {
		return nil, err
	}
	rest := api.Configuration{Version: m.Version, Limits: m.Limits, Relinquish: m.Relinquish, Retired: m.Retired, Routes: []api.Route{}, Services: []api.Service{}}
	return out, out.add(restEntry, "", rest)
}

// Assembly is a configuration that is kept up to date by its entries. The zero
// Assembly is empty.
type Assembly struct {
	parsed map[string]any
}

// Apply applies entries; an empty text deletes one. With snapshot set the entries replace
// all that there were. After an error nothing has changed.
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
	case restEntry:
		v = &api.Configuration{}
	default:
		return nil, errors.Wrap(ErrEntry, key)
	}
	if err := json.Unmarshal([]byte(text), v); err != nil {
		return nil, errors.Wrap(ErrEntry, err.Error())
	}
	return v, nil
}

// Configuration returns the configuration that the entries make up now.
func (a *Assembly) Configuration() api.Configuration {
	keys := make([]string, 0, len(a.parsed))
	for k := range a.parsed {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var m api.Configuration
	for _, k := range keys {
		switch v := a.parsed[k].(type) {
		case *api.Route:
			m.Routes = append(m.Routes, *v)
		case *api.Service:
			m.Services = append(m.Services, *v)
		case *api.Tenant:
			m.Tenants = append(m.Tenants, *v)
		case *api.Certificate:
			m.Certificates = append(m.Certificates, *v)
		case *api.Regime:
			m.Regimes = append(m.Regimes, *v)
		case *api.Configuration:
			m.Version, m.Limits, m.Relinquish, m.Retired = v.Version, v.Limits, v.Relinquish, v.Retired
		}
	}
	return m
}
