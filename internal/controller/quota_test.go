package controller

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

const limitedConfig = `{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/","kind":"streaming","cutoffMs":1000,"service":"s","tries":1}],
 "services":[{"name":"s","probe":"/health"}],"limits":{},
 "tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":10,"burst":10}]}`

// askQuota requests tokens of tenant t1 from a controller over its transport.
func askQuota(t *testing.T, from, to *Controller, need int) messages.QuotaGrant {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ask := messages.QuotaAsk{Tenant: "t1", Need: need, Want: need, RatePerS: 10, Burst: 10, Version: 1}
	b, err := from.transport.Call(ctx, to.transport.Addr(), transport.KindQuotaAsk, &ask)
	must.NoError(t, err)
	var grant messages.QuotaGrant
	_, err = grant.UnmarshalMsg(b)
	must.NoError(t, err)
	return grant
}

// ownersOf returns the controllers that own a tenant's rate-limit count.
func ownersOf(nodes []*Controller, tenant string) []*Controller {
	var owners []*Controller
	for _, d := range nodes {
		if d.quotas.Owns(quota.ShardOf(tenant)) {
			owners = append(owners, d)
		}
	}
	return owners
}

func TestNoQuotaOwnerWithoutRateLimits(t *testing.T) {
	nodes, _, _ := startThreeControllers(t)
	must.SliceEmpty(t, ownersOf(nodes, "t1"))
}

func TestTenantHasOneQuotaOwnerAndGetsAnotherWhenItLeaves(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/Config.Replace", limitedConfig, 0)
		return status == 200
	})
	waitUntil(t, func() bool { return len(ownersOf(nodes, "t1")) == 1 })
	owner := ownersOf(nodes, "t1")[0]
	for _, d := range nodes {
		grant := askQuota(t, nodes[0], d, 1)
		must.Eq(t, d == owner, grant.Owner)
		if d != owner {
			must.Eq(t, owner.transport.Addr(), grant.Hint)
		}
	}
	must.Less(t, 40, askQuota(t, nodes[0], owner, 1000).Granted)
	conditions := owner.quotas.Conditions()
	must.Len(t, 1, conditions)
	must.Eq(t, "t1", conditions[0].Tenant)
	must.Positive(t, conditions[0].Denied)

	owner.quotas.Leave()
	waitUntil(t, func() bool {
		owners := ownersOf(nodes, "t1")
		return len(owners) == 1 && owners[0] != owner
	})
}
