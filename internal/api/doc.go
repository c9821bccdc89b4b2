// Package api has the types of the HTTP calls of runners and of the operator, which
// are also those of the operator's configuration. They are generated from
// api/calls.yaml; units and bounds of fields are described there. The package has no
// state.
package api
