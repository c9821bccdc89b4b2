package routeconfig

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

const good = `{"version":7,"routes":[
 {"name":"a","host":"h.example","prefix":"/x/","kind":"streaming","cutoffMs":1000,"setpointMs":400,"service":"s1","tries":1,"resumable":true},
 {"name":"b","host":"h.example","prefix":"/x/y/","kind":"effectful","cutoffMs":500,"shares":[{"service":"s1","gain":90},{"service":"s2","gain":10}],"tries":2,"unkeyed":true}],
 "services":[{"name":"s1","engine":{"cacheTokens":100,"models":[{"name":"m"}]}},{"name":"s2"}],
 "limits":{"headerBytes":100},"unknown":1,
 "tenants":[{"name":"t1","apiKeys":["k1","k2"]},{"name":"t2","apiKeys":["k3"]}]}`

func TestParseNamesInvalidField(t *testing.T) {
	for _, c := range []struct{ name, old, new, field string }{
		{"cut short", `"k3"]}]}`, `"k3"`, "(body)"},
		{"unknown service", `"service":"s1","tries"`, `"service":"s9","tries"`, "routes[0].service"},
		{"unknown service in a split", `{"service":"s2","gain":10}`, `{"service":"s9","gain":10}`, "routes[1].shares[1].service"},
		{"same place", `"/x/y/"`, `"/x/"`, "routes[1].prefix"},
		{"no weight", `"gain":90},{"service":"s2","gain":10}`, `"gain":0},{"service":"s2","gain":0}`, "routes[1].shares"},
		{"no timeout", `"cutoffMs":500`, `"cutoffMs":0`, "Configuration.Routes[1].CutoffMs"},
		{"timeout missing", `"cutoffMs":500,`, ``, "Configuration.Routes[1].CutoffMs"},
		{"no version", `"version":7`, `"version":0`, "Configuration.Version"},
		{"shared key", `"k3"`, `"k1"`, "tenants[1].apiKeys"},
		{"kind", `"effectful"`, `"sometimes"`, "routes[1].kind"},
	} {
		raw := strings.Replace(good, c.old, c.new, 1)
		must.NotEq(t, good, raw, must.Sprint(c.name))
		_, err := Parse([]byte(raw))
		var bad *Invalid
		must.True(t, errors.As(err, &bad), must.Sprint(c.name, err))
		must.Eq(t, c.field, bad.Field, must.Sprint(c.name))
		must.NotEq(t, "", bad.Reason)
	}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	m, err := Parse([]byte(good))
	must.NoError(t, err)
	tab := Compile(m)
	must.Eq(t, "a", tab.Match("h.example", "/x/z").Name)
	must.Eq(t, "b", tab.Match("H.example:80", "/x/y/z").Name)
	must.Nil(t, tab.Match("h.example", "/z"))
	must.Nil(t, tab.Match("other", "/x/"))
	must.Eq(t, "t1", tab.Tenant("k2").Name)
	must.Nil(t, tab.Tenant("zz"))
	must.Eq(t, "s1", tab.ServiceOfModel("m"))
	b := tab.Match("h.example", "/x/y/")
	must.Eq(t, "s1", b.Pick(0.89))
	must.Eq(t, "s2", b.Pick(0.91))
	must.False(t, b.Repeatable())
	must.True(t, tab.Match("h.example", "/x/").Repeatable())
}
