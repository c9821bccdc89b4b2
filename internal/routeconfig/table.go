// Table is a configuration compiled for the request path. It is immutable: a new
// version makes a new table, and readers keep the one that they took.

package routeconfig

import (
	"sort"
	"strings"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
)

// Route is a route with its times in microseconds.
type Route struct {
	api.Route
	CutoffUs   int64
	SetpointUs int64
	gains      float32
}

// Table answers which route, service and tenant a request belongs to.
type Table struct {
	Version  int64
	Limits   api.Limits
	hosts    map[string][]*Route
	services map[string]*api.Service
	keys     map[string]*api.Tenant
	Tenants  int
	Stores   []*api.Service
	Policies *compliance.Policies
	regimes  map[string]string // by tenant
	// Relinquished are the zones that give up their sessions, and over how long.
	Relinquished map[string]int64
}

// Compile makes a table from a checked configuration.
func Compile(m api.Configuration) *Table {
	t := &Table{Version: m.Version, Limits: m.Limits, hosts: map[string][]*Route{}, services: map[string]*api.Service{}, keys: map[string]*api.Tenant{}, Tenants: len(m.Tenants)}
	if p, err := compliance.Compile(m); err == nil && len(m.Regimes) > 0 {
		t.Policies = p
	}
	for _, x := range m.Relinquish {
		if t.Relinquished == nil {
			t.Relinquished = map[string]int64{}
		}
		t.Relinquished[x.Zone] = int64(x.OverMs * 1000)
	}
	t.regimes = map[string]string{}
	for _, tenant := range m.Tenants {
		if tenant.Regime != "" {
			t.regimes[tenant.Name] = tenant.Regime
		}
	}
	for i := range m.Services {
		t.services[m.Services[i].Name] = &m.Services[i]
		if m.Services[i].CacheStore != "" {
			t.Stores = append(t.Stores, &m.Services[i])
		}
	}
	for i := range m.Routes {
		r := &Route{Route: m.Routes[i], CutoffUs: int64(m.Routes[i].CutoffMs * 1000), SetpointUs: int64(m.Routes[i].SetpointMs * 1000)}
		if len(r.Shares) == 0 {
			r.Shares = []api.Share{{Service: r.Service, Gain: 1}}
		}
		for _, s := range r.Shares {
			r.gains += s.Gain
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.Slice(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range m.Tenants {
		for _, k := range m.Tenants[i].Keys {
			t.keys[k] = &m.Tenants[i]
		}
	}
	return t
}

// Match finds the route with the longest prefix for a host and path.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = t.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Tenant finds the holder of a key.
func (t *Table) Tenant(key string) *api.Tenant { return t.keys[key] }

// RegimeOf is the regime of a tenant, or none.
func (t *Table) RegimeOf(tenant string) string { return t.regimes[tenant] }

// Allows tells whether a tenant's requests may go to a runner now, and by which
// certificate. Without a regime every runner will do.
func (t *Table) Allows(tenant string, r compliance.Runner) (regimeName string, certificate int, ok bool) {
	name := t.regimes[tenant]
	if name == "" {
		return "", -1, true
	}
	if t.Policies.None() {
		return name, -1, false
	}
	certificate, ok = t.Policies.Allows(name, r)
	return name, certificate, ok
}

// Service finds a service by name.
func (t *Table) Service(name string) *api.Service { return t.services[name] }

// ServiceOfModel finds the service whose engine runs a model.
func (t *Table) ServiceOfModel(model string) string {
	names := []string{}
	for name, s := range t.services {
		for _, m := range s.Engine.Models {
			if m.Name == model {
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// Pick chooses one of the route's services; x lies in [0,1).
func (r *Route) Pick(x float64) string {
	at := float32(x) * r.gains
	for _, s := range r.Shares {
		if at < s.Gain {
			return s.Service
		}
		at -= s.Gain
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Repeatable tells whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == api.Idempotent || r.Kind == api.Streaming && r.Resumable
}
