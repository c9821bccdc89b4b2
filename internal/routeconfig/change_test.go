package routeconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/statesync"
)

// large is a configuration of so many tenants and routes.
func large(tenants, routes int) api.Configuration {
	m := api.Configuration{Version: 1, Services: []api.Service{{Name: "s", Engine: api.Engine{CacheTokens: 96350, Models: []api.EngineModel{{Name: "m"}}}}}}
	for i := range routes {
		m.Routes = append(m.Routes, api.Route{Name: fmt.Sprint("r-", i), Host: "ficu95.example", Prefix: fmt.Sprintf("/lohu%d/", i), Kind: api.Streaming, CutoffMs: 15000, SetpointMs: 400, Service: "s", Tries: 2, Pinned: true, Resumable: true})
	}
	for i := range tenants {
		m.Tenants = append(m.Tenants, api.Tenant{Name: fmt.Sprint("nowu", i), Keys: []string{fmt.Sprintf("3d3zji9n73hh2b9wu%03d", i), fmt.Sprintf("xd9dnn2ctnfzs989an%03d", i)}, Rank: i % 3})
	}
	return m
}

// turn gives tenant 5 another key.
func turn(m api.Configuration, n int) api.Configuration {
	m.Version = int64(n)
	m.Tenants = append([]api.Tenant{}, m.Tenants...)
	m.Tenants[5].Keys = []string{fmt.Sprintf("fresh%015d", n)}
	return m
}

func changeOf(t testing.TB, s *statesync.Entries, m api.Configuration) []byte {
	e, err := Entries(m)
	must.NoError(t, err)
	s.Replace(e)
	c := statesync.EncodeEntries(s.Commit(m.Version))
	b, err := c.MarshalMsg(nil)
	must.NoError(t, err)
	return b
}

// A change is as long as what changed, however large the configuration.
func TestChangeSizeDependsOnDifferenceOnly(t *testing.T) {
	var sizes []int
	for _, n := range []int{71, 650} {
		m := large(n, n/5)
		s := statesync.NewEntries()
		s.Begin(1, 0)
		snapshot := len(changeOf(t, s, m))
		change := len(changeOf(t, s, turn(m, 2)))
		must.Less(t, snapshot/20, change)
		sizes = append(sizes, change)
		t.Logf("%d tenants: snapshot %d bytes, change %d", n, snapshot, change)
	}
	must.Between(t, sizes[0]-8, sizes[1], sizes[0]+8)
}

func BenchmarkTakeWhole(b *testing.B) {
	for _, n := range []int{71, 650} {
		raw, err := json.Marshal(large(n, n/5))
		must.NoError(b, err)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportMetric(float64(len(raw)), "bytes/change")
			for b.Loop() {
				m, err := Parse(raw)
				if err != nil {
					b.Fatal(err)
				}
				Compile(m)
			}
		})
	}
}

func BenchmarkTakeChange(b *testing.B) {
	for _, n := range []int{71, 650} {
		m := large(n, n/5)
		first, err := Entries(m)
		must.NoError(b, err)
		next, err := Entries(turn(m, 2))
		must.NoError(b, err)
		diff := map[string]string{}
		for k, v := range next {
			if first[k] != v {
				diff[k] = v
			}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var a Assembly
			must.NoError(b, a.Apply(first, true))
			for b.Loop() {
				if err := a.Apply(diff, false); err != nil {
					b.Fatal(err)
				}
				Compile(a.Configuration())
			}
		})
	}
}
