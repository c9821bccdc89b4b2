package routeconfig

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
)

const validConfig = `{"version":7,"routes":[
 {"name":"a","host":"h.example","prefix":"/x/","kind":"streaming","cutoffMs":1000,"setpointMs":400,"service":"s1","tries":1,"resumable":true},
 {"name":"b","host":"h.example","prefix":"/x/y/","kind":"effectful","cutoffMs":500,"shares":[{"service":"s1","gain":90},{"service":"s2","gain":10}],"tries":2,"unkeyed":true}],
 "services":[{"name":"s1","engine":{"cacheTokens":100,"models":[{"name":"m"}]}},{"name":"s2"}],
 "limits":{"headerBytes":100},"unknown":1,
 "tenants":[{"name":"t1","apiKeys":["k1","k2"]},{"name":"t2","apiKeys":["k3"]}]}`

func TestParseNamesInvalidField(t *testing.T) {
	for _, c := range []struct{ name, old, new, field string }{
		{"truncated body", `"k3"]}]}`, `"k3"`, "(body)"},
		{"unknown service", `"service":"s1","tries"`, `"service":"s9","tries"`, "routes[0].service"},
		{"unknown service in a share", `{"service":"s2","gain":10}`, `{"service":"s9","gain":10}`, "routes[1].shares[1].service"},
		{"same host and prefix", `"/x/y/"`, `"/x/"`, "routes[1].prefix"},
		{"gains sum to zero", `"gain":90},{"service":"s2","gain":10}`, `"gain":0},{"service":"s2","gain":0}`, "routes[1].shares"},
		{"no timeout", `"cutoffMs":500`, `"cutoffMs":0`, "Configuration.Routes[1].CutoffMs"},
		{"timeout missing", `"cutoffMs":500,`, ``, "Configuration.Routes[1].CutoffMs"},
		{"no version", `"version":7`, `"version":0`, "Configuration.Version"},
		{"shared key", `"k3"`, `"k1"`, "tenants[1].apiKeys"},
		{"unknown kind", `"effectful"`, `"sometimes"`, "routes[1].kind"},
	} {
		raw := strings.Replace(validConfig, c.old, c.new, 1)
		must.NotEq(t, validConfig, raw, must.Sprint(c.name))
		_, err := Parse([]byte(raw))
		var invalid *InvalidError
		must.True(t, errors.As(err, &invalid), must.Sprint(c.name, err))
		must.Eq(t, c.field, invalid.Field, must.Sprint(c.name))
		must.NotEq(t, "", invalid.Reason)
	}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	m, err := Parse([]byte(validConfig))
	must.NoError(t, err)
	table := Compile(m)
	must.Eq(t, "a", table.Match("h.example", "/x/z").Name)
	must.Eq(t, "b", table.Match("H.example:80", "/x/y/z").Name)
	must.Nil(t, table.Match("h.example", "/z"))
	must.Nil(t, table.Match("other", "/x/"))
	must.Eq(t, "t1", table.Tenant("k2").Name)
	must.Nil(t, table.Tenant("zz"))
	must.Eq(t, "s1", table.ServiceOfModel("m"))
	b := table.Match("h.example", "/x/y/")
	must.Eq(t, "s1", b.Pick(0.89))
	must.Eq(t, "s2", b.Pick(0.91))
	must.False(t, b.Repeatable())
	must.True(t, table.Match("h.example", "/x/").Repeatable())
}

func TestIsolatedTenantsNameTheirSet(t *testing.T) {
	nameOf := func(tenants ...api.Tenant) string {
		return Compile(api.Configuration{Tenants: tenants}).IsolatedTenants
	}
	a, b, shared := api.Tenant{Name: "a", Isolated: true}, api.Tenant{Name: "b", Isolated: true}, api.Tenant{Name: "s"}
	must.Eq(t, "", nameOf(shared))
	must.Eq(t, nameOf(a, b), nameOf(b, shared, a))
	must.NotEq(t, nameOf(a), nameOf(a, b))
	must.NotEq(t, nameOf(a), nameOf(b))
	must.NotEq(t, nameOf(a, b), nameOf(api.Tenant{Name: "ab", Isolated: true}))
}
