package controller

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestConfigRetiresWeightsOnlyAfterNewerVersionIsNamed(t *testing.T) {
	_, url, _ := startThreeControllers(t)
	retiring := strings.Replace(limitedConfig, `"limits":{}`, `"limits":{},"retired":[{"model":"m","before":5}]`, 1)
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":4}`, 0)
		return status == 200
	})
	status, body := 0, ""
	waitUntil(t, func() bool {
		status, body = call(t, "POST", url+"/api/Config.Replace", retiring, 0)
		return status != 503
	})
	must.Eq(t, 400, status)
	must.StrContains(t, body, "retired[0].before")
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":5}`, 0)
		return status == 200
	})
	waitUntil(t, func() bool {
		status, body = call(t, "POST", url+"/api/Config.Replace", retiring, 0)
		return status != 503
	})
	must.Eq(t, 200, status, must.Sprint(body))
}
