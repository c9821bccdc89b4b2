package controller

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMetricsReportCallsAndRounds(t *testing.T) {
	d, url, stop := startSingleController(t, "", freePort(t), true)
	defer stop()
	request, err := http.NewRequest(http.MethodPost, url+"/api/Config.Replace", strings.NewReader(`{"version":7,"routes":[],"services":[]}`))
	must.NoError(t, err)
	request.Header.Set("Beechtide-Base-Version", "0")
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	response.Body.Close()
	must.Eq(t, 200, response.StatusCode)
	var text bytes.Buffer
	must.NoError(t, d.metricsServer().Write(&text))
	for _, line := range []string{
		`beechtide_calls_total{call="replace",outcome="done"} 1`, `beechtide_config_version{of="acknowledged"} 7`,
		`beechtide_config_version{of="in_force"} 7`, `beechtide_register_version{register="0"} 1`,
		`beechtide_contact 1`, `beechtide_config_publish_seconds_count 1`, `beechtide_config_replace_seconds_count 1`, `beechtide_nodes{role="controller"} 1`,
	} {
		must.StrContains(t, text.String(), line+"\n")
	}
}
