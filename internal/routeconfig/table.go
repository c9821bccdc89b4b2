// Table is a configuration compiled for the request path. It is immutable: each version is
// compiled to a new table, and readers continue to use the table that they loaded.

package routeconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
)

// Route is a route of the configuration with its times converted to microseconds.
type Route struct {
	api.Route
	CutoffUs   int64
	SetpointUs int64
	totalGain  float32
}

// Table looks up the route, service and tenant of a request. It is safe for concurrent use
// because it is not modified after Compile.
type Table struct {
	Version            int64
	Limits             api.Limits
	routesByHost       map[string][]*Route // by host in lower case, longest prefix first
	servicesByName     map[string]*api.Service
	tenantsByKey       map[string]*api.Tenant // key: API key
	TenantCount        int                    // number of tenants
	IsolatedTenants    string                 // names the set of the isolated tenants; empty if there are none
	HasRateLimits      bool                   // a tenant has a rate limit
	CacheStoreServices []*api.Service         // services with a cache store
	Policies           *compliance.Policies   // nil without regimes
	regimesByTenant    map[string]string      // by tenant
	// Relinquished has, for each zone that relinquishes its sessions, the period
	// over which it does so in microseconds.
	RelinquishUsByZone map[string]int64
	// MinWeightsVersionByModel has, by model, the first weight version that is not
	// retired. Models without retired weights are not in it.
	MinWeightsVersionByModel map[string]int64
}

// Compile builds a table from a validated configuration.
func Compile(config api.Configuration) *Table {
	t := &Table{
		Version:         config.Version,
		Limits:          config.Limits,
		routesByHost:    map[string][]*Route{},
		servicesByName:  map[string]*api.Service{},
		tenantsByKey:    map[string]*api.Tenant{},
		TenantCount:     len(config.Tenants),
		IsolatedTenants: nameIsolated(config.Tenants),
		regimesByTenant: map[string]string{},
	}
	if p, err := compliance.Compile(config); err == nil && len(config.Regimes) > 0 {
		t.Policies = p
	}
	t.addRelinquished(config.Relinquish)
	t.addRetired(config.Retired)
	t.addServices(config.Services)
	t.addRoutes(config.Routes)
	t.addTenants(config.Tenants)
	return t
}

// isolatedNameBytes is the length of the hash that names a set of isolated tenants.
const isolatedNameBytes = 6

// nameIsolated returns a short name for the set of the isolated tenants, the same for the same set, and
// "" for the empty one.
func nameIsolated(tenants []api.Tenant) string {
	var isolated []string
	for _, tenant := range tenants {
		if tenant.Isolated {
			isolated = append(isolated, tenant.Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	sum := sha256.Sum256([]byte(strings.Join(isolated, "\x00")))
	return hex.EncodeToString(sum[:isolatedNameBytes])
}

func (t *Table) addRelinquished(relinquish []api.Relinquish) {
	for _, x := range relinquish {
		if t.RelinquishUsByZone == nil {
			t.RelinquishUsByZone = map[string]int64{}
		}
		t.RelinquishUsByZone[x.Zone] = int64(x.OverMs * 1000)
	}
}

func (t *Table) addRetired(retired []api.Retirement) {
	for _, r := range retired {
		if t.MinWeightsVersionByModel == nil {
			t.MinWeightsVersionByModel = map[string]int64{}
		}
		t.MinWeightsVersionByModel[r.Model] = r.Before
	}
}

func (t *Table) addServices(services []api.Service) {
	for i := range services {
		t.servicesByName[services[i].Name] = &services[i]
		if services[i].CacheStore != "" {
			t.CacheStoreServices = append(t.CacheStoreServices, &services[i])
		}
	}
}

// addRoutes adds the routes and sorts those of each host by prefix length, longest first,
// so that the first match is the longest one.
func (t *Table) addRoutes(routes []api.Route) {
	for i := range routes {
		r := &Route{Route: routes[i], CutoffUs: int64(routes[i].CutoffMs * 1000), SetpointUs: int64(routes[i].SetpointMs * 1000)}
		if len(r.Shares) == 0 {
			r.Shares = []api.Share{{Service: r.Service, Gain: 1}}
		}
		for _, s := range r.Shares {
			r.totalGain += s.Gain
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routesOfHost := range t.routesByHost {
		slices.SortFunc(routesOfHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

func (t *Table) addTenants(tenants []api.Tenant) {
	for i := range tenants {
		t.HasRateLimits = t.HasRateLimits || tenants[i].RatePerS > 0
		if tenants[i].Regime != "" {
			t.regimesByTenant[tenants[i].Name] = tenants[i].Regime
		}
		for _, k := range tenants[i].Keys {
			t.tenantsByKey[k] = &tenants[i]
		}
	}
}

// Match returns the route with the longest matching prefix for a host and path, nil if no
// route matches. A port in the host is ignored unless a route names it.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.routesByHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Tenant returns the tenant with the given API key, nil for an unknown key.
func (t *Table) Tenant(key string) *api.Tenant { return t.tenantsByKey[key] }

// RegimeOf returns the name of the regime of a tenant, "" for none.
func (t *Table) RegimeOf(tenant string) string { return t.regimesByTenant[tenant] }

// Allows reports whether a tenant's requests may be sent to a runner now, and returns the
// tenant's regime and the certificate that permits it. A tenant without a regime may use
// every runner.
func (t *Table) Allows(tenant string, r compliance.Runner) (regimeName string, certificate int, ok bool) {
	name := t.regimesByTenant[tenant]
	if name == "" {
		return "", -1, true
	}
	if t.Policies.IsEmpty() {
		return name, -1, false
	}
	certificate, ok = t.Policies.Allows(name, r)
	return name, certificate, ok
}

// Service returns a service by name, nil for an unknown one.
func (t *Table) Service(name string) *api.Service { return t.servicesByName[name] }

// ServiceOfModel returns the name of the service whose engine runs a model: the first by
// name if there are several, "" if there is none.
func (t *Table) ServiceOfModel(model string) string {
	names := []string{}
	for name, s := range t.servicesByName {
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
	remaining := float32(x) * r.totalGain
	for _, s := range r.Shares {
		if remaining < s.Gain {
			return s.Service
		}
		remaining -= s.Gain
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == api.Idempotent || r.Kind == api.Streaming && r.Resumable
}
