package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHeartbeatClosesConnectionOfRedirectedRunner(t *testing.T) {
	_, url, _ := startThreeControllers(t)
	closed, retained := 0, 0
	for i := range 40 {
		response, err := http.Post(fmt.Sprintf("%s/api/Runners.Heartbeat/i-%d", url, i), "application/json",
			strings.NewReader(fmt.Sprintf(`{"service":"s","address":"127.0.0.1:%d","zone":"a","version":"v","capacity":1,"state":"ready","sequence":1,"models":[]}`, 1000+i)))
		must.NoError(t, err)
		must.Eq(t, 200, response.StatusCode)
		body := make([]byte, 256)
		n, _ := response.Body.Read(body)
		response.Body.Close()
		redirected := strings.Contains(string(body[:n]), "beatTo")
		must.Eq(t, redirected, response.Close, must.Sprint(string(body[:n])))
		if redirected {
			closed++
		} else {
			retained++
		}
	}
	must.Positive(t, closed)
	must.Positive(t, retained)
}
