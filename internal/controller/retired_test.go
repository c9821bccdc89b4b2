package controller

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWeightsAreRetiredOnlyOnceNewerOnesAreNamed(t *testing.T) {
	_, url, _ := three(t)
	retiring := strings.Replace(limitedConfig, `"limits":{}`, `"limits":{},"retired":[{"model":"m","before":5}]`, 1)
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":4}`, 0)
		return status == 200
	})
	status, body := 0, ""
	until(t, func() bool {
		status, body = call(t, "POST", url+"/api/Config.Replace", retiring, 0)
		return status != 503
	})
	must.Eq(t, 400, status)
	must.StrContains(t, body, "retired[0].before")
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":5}`, 0)
		return status == 200
	})
	until(t, func() bool {
		status, body = call(t, "POST", url+"/api/Config.Replace", retiring, 0)
		return status != 503
	})
	must.Eq(t, 200, status, must.Sprint(body))
}
