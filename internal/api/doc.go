// Package api defines the types of the HTTP calls of runners and of the operator, which
// are also those of the operator's configuration. They are generated from
// api/calls.yaml, which describes the units and bounds of the fields. The package has no
// state.
package api
