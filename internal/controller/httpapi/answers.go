// Package httpapi has what the HTTP calls of a controller share: how a body is read and checked,
// and how a call is rejected (api/calls.yaml).
package httpapi

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-playground/validator/v10"

	"beechtide.org/beechtide/internal/api"
)

// BodyField is the name of the field in a Fault that concerns the body as a whole.
const BodyField = "(body)"

var validate = validator.New(validator.WithRequiredStructEnabled())

// Reject answers a call with a Fault that names the field that is at fault, empty where it is
// none, and the reason.
func Reject(rc *app.RequestContext, status int, field, reason string) {
	rc.JSON(status, api.Fault{Error: reason, Field: field})
}

// Check checks the fields of a decoded call.
func Check(call any) error { return validate.Struct(call) }

// Decode reads and checks the body of a call. One that is not valid is rejected with 400.
func Decode(rc *app.RequestContext, call any) (valid bool) {
	err := json.Unmarshal(rc.Request.Body(), call)
	if err == nil {
		err = Check(call)
	}
	if err != nil {
		Reject(rc, 400, BodyField, err.Error())
	}
	return err == nil
}
