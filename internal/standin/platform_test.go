package standin

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// callPlatform makes a call as the holder of a duty and returns the status of the response.
func callPlatform(t *testing.T, address, path, holder, fence, body string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	must.NoError(t, err)
	request.Header.Set("Beechtide-Duty-Holder", holder)
	request.Header.Set("Beechtide-Fence", fence)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

func TestPlatformRejectsLowerFenceOfSameSubject(t *testing.T) {
	var calls []PlatformCall
	p := NewPlatform(PlatformConfig{OnCall: func(c PlatformCall) { calls = append(calls, c) }})
	address, err := p.Start()
	must.NoError(t, err)
	defer p.Close()
	const first, second = `{"windowSeq":7,"counts":{"x":3}}`, `{"windowSeq":7,"counts":{"x":4}}`
	must.Eq(t, 200, callPlatform(t, address, "/usage", "a", "4", first))
	must.Eq(t, 409, callPlatform(t, address, "/usage", "b", "3", second))
	must.Eq(t, 200, callPlatform(t, address, "/setpoint", "b", "3", `{"service":"s","zone":"z","desired":4}`))
	must.Eq(t, 200, callPlatform(t, address, "/usage", "b", "5", second))
	must.Eq(t, map[string]int64{"x": 3}, p.Usage()[7].Counts, must.Sprint("the first report of a window must stay"))
	must.Eq(t, 400, callPlatform(t, address, "/usage", "", "5", second))
	must.Eq(t, 400, callPlatform(t, address, "/usage", "b", "none", second))
	must.Len(t, 4, calls)
	must.Eq(t, "s in z", calls[2].Subject)
	p.SetDown(true)
	must.Eq(t, 503, callPlatform(t, address, "/usage", "b", "5", second))
}

func TestPlatformRespondsTooManyRequestsOverRateLimit(t *testing.T) {
	p := NewPlatform(PlatformConfig{CallsPerSecond: 2})
	address, err := p.Start()
	must.NoError(t, err)
	defer p.Close()
	statuses := map[int]int{}
	for range 8 {
		statuses[callPlatform(t, address, "/usage", "a", "1", `{"windowSeq":7,"counts":{}}`)]++
	}
	must.Positive(t, statuses[http.StatusTooManyRequests])
	must.GreaterEq(t, 2, statuses[http.StatusOK])
}
