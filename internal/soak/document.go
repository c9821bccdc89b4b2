// The configurations that a soak publishes.

package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"beechtide.org/beechtide/internal/api"
)

const (
	hostName          = "soak.example"
	tenantName        = "tenant-1"
	tenantKey         = "key-of-tenant-1"
	probePath         = "/health"
	runnerCapacity    = 16
	maxRunners        = 32
	maxRouteAttempts  = 2
	largeChangeRoutes = 600 // extra routes of a large change
	cutoffMs          = 12000
	maxBodyBytes      = 4 << 20
)

// Prefixes of the routes that every configuration has.
const (
	prefixIdempotent = "/lookup/"
	prefixEffectful  = "/pay/"
	prefixStreaming  = "/chat/"
	prefixResumable  = "/sort/"
)

// versionPrefix returns the prefix of the route that only this version has.
func versionPrefix(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// buildConfiguration returns the configuration of a version as JSON. It has one route whose
// prefix contains the version, so that a probe can detect which version a router serves.
// variant makes the content differ from other configurations of the same version.
func buildConfiguration(version int64, extraRoutes int, variant string) ([]byte, error) {
	route := func(name, prefix string, kind api.RouteKind) api.Route {
		return api.Route{Name: name, Host: hostName, Prefix: prefix, Kind: kind, CutoffMs: cutoffMs, Service: serviceName, Tries: maxRouteAttempts}
	}
	stream := func(name, prefix string, resumable bool) api.Route {
		r := route(name, prefix, api.Streaming)
		r.SetpointMs, r.GapSetpointMs, r.Pinned, r.Resumable = 1000, 1000, true, resumable
		return r
	}
	config := api.Configuration{
		Version: version,
		Routes: []api.Route{
			route("lookup", prefixIdempotent, api.Idempotent), route("pay", prefixEffectful, api.Effectful),
			stream("chat", prefixStreaming, false), stream("sort", prefixResumable, true),
			route("version"+variant, versionPrefix(version), api.Idempotent),
		},
		Services: []api.Service{{
			Name: serviceName, Probe: probePath, LinkLimit: 256, Protocol: "h1",
			Scaling: api.Scaling{Floor: 1, Ceiling: maxRunners, BootS: 1},
			Engine:  api.Engine{Capacity: runnerCapacity, CacheTokens: 100000, TokenBytes: 1000, LinkMbps: 1000, Concurrency: 8, Stride: 1, Models: []api.EngineModel{{Name: modelName}}},
		}},
		Limits:  api.Limits{HeaderBytes: 16384, BodyBytes: maxBodyBytes, HeaderMs: 3000, IdleMs: 15000},
		Tenants: []api.Tenant{{Name: tenantName, Keys: []string{tenantKey}}},
	}
	for i := range extraRoutes {
		config.Routes = append(config.Routes, route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d-%d/", version, i), api.Idempotent))
	}
	return json.Marshal(config)
}

// configurationDigest returns the version of a configuration and a hash of its content that
// does not depend on the order of the fields.
func configurationDigest(raw []byte) (version int64, sum string) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return 0, ""
	}
	canonical, err := json.Marshal(fields) // sorts the keys
	if err != nil {
		return 0, ""
	}
	if number, ok := fields["version"].(json.Number); ok {
		version, _ = number.Int64()
	}
	hash := sha256.Sum256(canonical)
	return version, hex.EncodeToString(hash[:])
}
