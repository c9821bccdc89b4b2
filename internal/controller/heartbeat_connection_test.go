package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestConnectionOfARunnerThatIsSentElsewhereIsClosed(t *testing.T) {
	_, url, _ := three(t)
	sent, stayed := 0, 0
	for i := range 40 {
		response, err := http.Post(fmt.Sprintf("%s/api/Runners.Heartbeat/i-%d", url, i), "application/json",
			strings.NewReader(fmt.Sprintf(`{"service":"s","address":"127.0.0.1:%d","zone":"a","version":"v","capacity":1,"state":"ready","sequence":1,"models":[]}`, 1000+i)))
		must.NoError(t, err)
		must.Eq(t, 200, response.StatusCode)
		body := make([]byte, 256)
		n, _ := response.Body.Read(body)
		response.Body.Close()
		elsewhere := strings.Contains(string(body[:n]), "beatTo")
		must.Eq(t, elsewhere, response.Close, must.Sprint(string(body[:n])))
		if elsewhere {
			sent++
		} else {
			stayed++
		}
	}
	must.Positive(t, sent)
	must.Positive(t, stayed)
}
