package routeconfig

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestRelinquishIsValidatedAndReplicated(t *testing.T) {
	with := func(list string) string { return strings.Replace(validConfig, `"unknown":1`, `"relinquish":`+list, 1) }
	for _, c := range []struct{ list, field string }{
		{`[{"zone":"a"},{"zone":"a"}]`, "relinquish[1].zone"},
		{`[{"zone":""}]`, "Configuration.Relinquish[0].Zone"},
		{`[{"zone":"a","overMs":-1}]`, "Configuration.Relinquish[0].OverMs"},
	} {
		_, err := Parse([]byte(with(c.list)))
		var invalid *InvalidError
		must.True(t, errors.As(err, &invalid), must.Sprint(c.list))
		must.Eq(t, c.field, invalid.Field)
	}
	m, err := Parse([]byte(with(`[{"zone":"a","overMs":1500}]`)))
	must.NoError(t, err)
	e, err := Entries(m)
	must.NoError(t, err)
	var a Assembly
	must.NoError(t, a.Apply(e, true))
	must.Eq(t, map[string]int64{"a": 1_500_000}, Compile(a.Configuration()).RelinquishUsByZone)
}
