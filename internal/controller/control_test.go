package controller

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// A configuration accepted by an earlier version of the program is acknowledged again even if the
// current validation rejects it; a different text is validated. A change based on a version that
// is not committed yet gets no final answer.
func TestRepeatedConfigIsAcknowledgedDespiteStricterValidation(t *testing.T) {
	d, url, stop := startSingleController(t, "", freePort(t), true)
	defer stop()
	accepted := configText(5, "a service that earlier checks let pass")
	submission := routeconfig.Submission{Raw: []byte(accepted), Version: 5}
	_, err := d.registers.Change(context.Background(), consensus.ConfigRegister, func(cur messages.Value) ([]messages.Member, []byte, error) {
		body, err := messages.DecodeConfigBody(cur)
		must.NoError(t, err)
		next, err := submission.Apply(body)
		must.NoError(t, err)
		encoded, err := next.MarshalMsg(nil)
		return nil, encoded, err
	})
	must.NoError(t, err)
	must.Eq(t, int64(5), d.table.Load().Version, must.Sprint("the accepted configuration is active"))
	for _, c := range []struct {
		name, body   string
		base, status int
	}{
		{"repeated", accepted, 0, 200},
		{"other bytes", accepted + " ", 5, 400},
		{"based on a future version", configText(9, "s"), 7, 503},
		{"next", configText(7, "s"), 5, 200},
		{"repeated later", accepted, 0, 200},
		{"base version committed", configText(9, "s"), 7, 200},
	} {
		status, body := call(t, "POST", url+"/api/Config.Replace", c.body, c.base)
		must.Eq(t, c.status, status, must.Sprint(c.name, body))
	}
}
