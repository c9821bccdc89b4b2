// Package api holds the schemas of calls, settings and messages between nodes.
// The Go types come from them: run `go generate ./api` after a change.
package api

//go:generate go tool oapi-codegen -config calls.gen.yaml calls.yaml
//go:generate go tool oapi-codegen -config settings.gen.yaml settings.yaml
//go:generate go tool oapi-codegen -config messages.gen.yaml messages.yaml
//go:generate sed -i -E "s/json:\"([a-z])[^\"]*\"/msg:\"\\1\"/" ../internal/messages/types.gen.go
//go:generate go tool msgp -file ../internal/messages/types.gen.go -o ../internal/messages/msgp.gen.go -tests=false -io=false
