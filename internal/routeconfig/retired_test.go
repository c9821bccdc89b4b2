package routeconfig

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestRetiredWeightsAreValidatedAndReplicated(t *testing.T) {
	with := func(list string) string { return strings.Replace(validConfig, `"unknown":1`, `"retired":`+list, 1) }
	for _, c := range []struct{ list, field string }{
		{`[{"model":"m","before":2},{"model":"m","before":3}]`, "retired[1].model"},
		{`[{"model":"","before":2}]`, "Configuration.Retired[0].Model"},
		{`[{"model":"m","before":0}]`, "Configuration.Retired[0].Before"},
	} {
		_, err := Parse([]byte(with(c.list)))
		var invalid *InvalidError
		must.True(t, errors.As(err, &invalid), must.Sprint(c.list))
		must.Eq(t, c.field, invalid.Field)
	}
	m, err := Parse([]byte(with(`[{"model":"m","before":7}]`)))
	must.NoError(t, err)
	e, err := Entries(m)
	must.NoError(t, err)
	var a Assembly
	must.NoError(t, a.Apply(e, true))
	must.Eq(t, map[string]int64{"m": 7}, Compile(a.Configuration()).MinWeightsVersionByModel)
}

func TestRetiredWeightsOfUnknownModelAreInvalid(t *testing.T) {
	raw := `{"version":1,"routes":[],"services":[{"name":"s","probe":"/h","engine":{"models":[{"name":"m"}]}}],"limits":{},"retired":[{"model":"x","before":2}]}`
	_, err := Parse([]byte(raw))
	var invalid *InvalidError
	must.True(t, errors.As(err, &invalid))
	must.Eq(t, "retired[0].model", invalid.Field)
}
