// Table is a configuration compiled for the request path. It is immutable: a new
// version makes a new table, and readers keep the one that they took.

package routeconfig

import (
	"slices"
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

// Table answers which route, service and tenant a request belongs to. It is safe for
// concurrent use, as nothing changes it after Compile.
type Table struct {
	Version  int64
	Limits   api.Limits
	hosts    map[string][]*Route // by host in lower case, longest prefix first
	services map[string]*api.Service
	keys     map[string]*api.Tenant // by API key
	Tenants  int                    // how many there are
	Limited  bool                   // a tenant has a limit on its requests
	Stores   []*api.Service         // the services that have a cache store
	Policies *compliance.Policies   // nil without regimes
	regimes  map[string]string      // by tenant
	// Relinquished are the zones that give up their sessions, and over how many
	// microseconds.
	Relinquished map[string]int64
	// Retired has the first version of a model's weights that is not retired; models of
	// which none is are not in it.
	Retired map[string]int64
}

// Compile makes a table from a checked configuration.
func Compile(m api.Configuration) *Table {
	t := &Table{
		Version:  m.Version,
		Limits:   m.Limits,
		hosts:    map[string][]*Route{},
		services: map[string]*api.Service{},
		keys:     map[string]*api.Tenant{},
		Tenants:  len(m.Tenants),
		regimes:  map[string]string{},
	}
	if p, err := compliance.Compile(m); err == nil && len(m.Regimes) > 0 {
		t.Policies = p
	}
	t.addRelinquished(m.Relinquish)
	t.addRetired(m.Retired)
	t.addServices(m.Services)
	t.addRoutes(m.Routes)
	t.addTenants(m.Tenants)
	return t
}

func (t *Table) addRelinquished(relinquish []api.Relinquish) {
	for _, x := range relinquish {
		if t.Relinquished == nil {
			t.Relinquished = map[string]int64{}
		}
		t.Relinquished[x.Zone] = int64(x.OverMs * 1000)
	}
}

func (t *Table) addRetired(retired []api.Retirement) {
	for _, r := range retired {
		if t.Retired == nil {
			t.Retired = map[string]int64{}
		}
		t.Retired[r.Model] = r.Before
	}
}

func (t *Table) addServices(services []api.Service) {
	for i := range services {
		t.services[services[i].Name] = &services[i]
		if services[i].CacheStore != "" {
			t.Stores = append(t.Stores, &services[i])
		}
	}
}

// addRoutes sorts the routes of each host by the length of their prefixes, the
// longest first, so that Match takes the first that fits.
func (t *Table) addRoutes(routes []api.Route) {
	for i := range routes {
		r := &Route{Route: routes[i], CutoffUs: int64(routes[i].CutoffMs * 1000), SetpointUs: int64(routes[i].SetpointMs * 1000)}
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
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

func (t *Table) addTenants(tenants []api.Tenant) {
	for i := range tenants {
		t.Limited = t.Limited || tenants[i].RatePerS > 0
		if tenants[i].Regime != "" {
			t.regimes[tenants[i].Name] = tenants[i].Regime
		}
		for _, k := range tenants[i].Keys {
			t.keys[k] = &tenants[i]
		}
	}
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

// Tenant returns the tenant that an API key belongs to, nil for an unknown key.
func (t *Table) Tenant(key string) *api.Tenant { return t.keys[key] }

// RegimeOf returns the name of the regime of a tenant, "" for none.
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

// Service returns a service by name, nil for an unknown one.
func (t *Table) Service(name string) *api.Service { return t.services[name] }

// ServiceOfModel returns the name of the service whose engine runs a model, the first
// by name where several do, and "" where none does.
func (t *Table) ServiceOfModel(model string) string {
	names := []string{}
	for name, s := range t.services {
		for _, m := range s.Engine.Models {
			if m.Name == model {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
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
