package routeconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/statesync"
)

// largeConfig returns a configuration with the given numbers of tenants and routes.
func largeConfig(tenants, routes int) api.Configuration {
	config := api.Configuration{Version: 1, Services: []api.Service{{Name: "s", Engine: api.Engine{CacheTokens: 96350, Models: []api.EngineModel{{Name: "m"}}}}}}
	for i := range routes {
		config.Routes = append(config.Routes, api.Route{Name: fmt.Sprint("r-", i), Host: "ficu95.example", Prefix: fmt.Sprintf("/lohu%d/", i), Kind: api.Streaming, CutoffMs: 15000, SetpointMs: 400, Service: "s", Tries: 2, Pinned: true, Resumable: true})
	}
	for i := range tenants {
		config.Tenants = append(config.Tenants, api.Tenant{Name: fmt.Sprint("nowu", i), Keys: []string{fmt.Sprintf("3d3zji9n73hh2b9wu%03d", i), fmt.Sprintf("xd9dnn2ctnfzs989an%03d", i)}, Rank: i % 3})
	}
	return config
}

// withChangedKey returns the configuration with the given version and another API key of
// tenant 5.
func withChangedKey(config api.Configuration, version int) api.Configuration {
	config.Version = int64(version)
	config.Tenants = append([]api.Tenant{}, config.Tenants...)
	config.Tenants[5].Keys = []string{fmt.Sprintf("fresh%015d", version)}
	return config
}

func encodeChange(t testing.TB, s *statesync.Entries, m api.Configuration) []byte {
	e, err := Entries(m)
	must.NoError(t, err)
	s.Replace(e)
	c := statesync.EncodeEntries(s.Commit(m.Version))
	b, err := c.MarshalMsg(nil)
	must.NoError(t, err)
	return b
}

// The size of an encoded change depends on the entries that differ, not on the size of the
// configuration.
func TestChangeSizeDependsOnDifferenceOnly(t *testing.T) {
	var sizes []int
	for _, n := range []int{71, 650} {
		m := largeConfig(n, n/5)
		s := statesync.NewEntries()
		s.Begin(1, 0)
		snapshot := len(encodeChange(t, s, m))
		change := len(encodeChange(t, s, withChangedKey(m, 2)))
		must.Less(t, snapshot/20, change)
		sizes = append(sizes, change)
		t.Logf("%d tenants: snapshot %d bytes, change %d", n, snapshot, change)
	}
	must.Between(t, sizes[0]-8, sizes[1], sizes[0]+8)
}

func BenchmarkParseFullConfiguration(b *testing.B) {
	for _, n := range []int{71, 650} {
		raw, err := json.Marshal(largeConfig(n, n/5))
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

func BenchmarkApplyChangedEntries(b *testing.B) {
	for _, n := range []int{71, 650} {
		m := largeConfig(n, n/5)
		first, err := Entries(m)
		must.NoError(b, err)
		next, err := Entries(withChangedKey(m, 2))
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
