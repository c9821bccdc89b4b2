// Entries split a configuration into texts by route, service, tenant and so on, which
// is how it travels between nodes: a change carries only what differs. An Assembly
// puts a configuration together again and parses only the entries that changed.

package routeconfig

import (
	"encoding/json"
	"fmt"
	"sort"
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

// Entries cuts a configuration.
func Entries(m api.Configuration) (map[string]string, error) {
	out := map[string]string{}
	put := func(kind, name string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(ErrEntry, err.Error())
		}
		for n := 0; ; n++ {
			key := fmt.Sprintf("%s/%03d/%s", kind, n, name)
			if _, taken := out[key]; !taken {
				out[key] = string(b)
				return nil
			}
		}
	}
	for _, r := range m.Routes {
		if err := put(routeEntry, r.Host+r.Prefix, r); err != nil {
			return nil, err
		}
	}
	for _, s := range m.Services {
		if err := put(serviceEntry, s.Name, s); err != nil {
			return nil, err
		}
	}
	for _, t := range m.Tenants {
		if err := put(tenantEntry, t.Name, t); err != nil {
			return nil, err
		}
	}
	for i, c := range m.Certificates {
		if err := put(certificateEntry, fmt.Sprintf("%04d", i), c); err != nil {
			return nil, err
		}
	}
	for _, r := range m.Regimes {
		if err := put(regimeEntry, r.Name, r); err != nil {
			return nil, err
		}
	}
	rest := api.Configuration{Version: m.Version, Limits: m.Limits, Relinquish: m.Relinquish, Routes: []api.Route{}, Services: []api.Service{}}
	return out, put(restEntry, "", rest)
}

// Assembly is a configuration being kept up by its entries.
type Assembly struct {
	parsed map[string]any
}

// Take takes entries in; an empty text means that one is gone. With whole set
// there is nothing but these. On an error nothing has changed.
func (a *Assembly) Take(entries map[string]string, whole bool) error {
	fresh := map[string]any{}
	if !whole {
		for k, v := range a.parsed {
			fresh[k] = v
		}
	}
	for k, text := range entries {
		if text == "" {
			delete(fresh, k)
			continue
		}
		v, err := parseEntry(k, text)
		if err != nil {
			return err
		}
		fresh[k] = v
	}
	a.parsed = fresh
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

// Configuration is the configuration as it is now.
func (a *Assembly) Configuration() api.Configuration {
	keys := make([]string, 0, len(a.parsed))
	for k := range a.parsed {
		keys = append(keys, k)
	}
	sort.Strings(keys)
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
			m.Version, m.Limits, m.Relinquish = v.Version, v.Limits, v.Relinquish
		}
	}
	return m
}
