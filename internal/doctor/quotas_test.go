package doctor

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestQuotasListsTenantsWithOwnerAndSuccessor(t *testing.T) {
	results := []NodeResult{
		{Condition: &messages.Condition{Node: "c2", Quotas: []messages.QuotaCondition{{Tenant: "t2", RatePerS: 4, Level: 2.25, Granted: 7}}}},
		{},
		{Condition: &messages.Condition{Node: "c1", Quotas: []messages.QuotaCondition{{Tenant: "t1", Successor: "10.0.0.2:7641", RatePerS: 10, Denied: 3}}}},
	}
	must.Eq(t, []string{
		"t1: counted by c1, successor 10.0.0.2:7641, limit 10.0/s, 0.0 tokens left, 0 granted, 3 denied",
		"t2: counted by c2, successor nobody, limit 4.0/s, 2.2 tokens left, 7 granted, 0 denied",
	}, Quotas(results))
}
