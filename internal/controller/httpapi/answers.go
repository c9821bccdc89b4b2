// Package httpapi contains the functions that the handlers of a controller's HTTP calls share: they
// decode and validate the body of a call, and reject a call with a Fault (api/calls.yaml).
package httpapi

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-playground/validator/v10"

	"beechtide.org/beechtide/internal/api"
)

// BodyField is the field name in a Fault that concerns the entire body.
const BodyField = "(body)"

var validate = validator.New(validator.WithRequiredStructEnabled())

// Reject responds to a call with a Fault that contains the reason and the name of the invalid field,
// which is empty if the fault does not concern a field.
func Reject(rc *app.RequestContext, status int, field, reason string) {
	rc.JSON(status, api.Fault{Error: reason, Field: field})
}

// Validate applies the validation rules in the struct tags of a decoded call.
func Validate(call any) error { return validate.Struct(call) }

// Decode decodes and validates the body of a call. If it is invalid, the call is rejected with 400.
func Decode(rc *app.RequestContext, call any) (valid bool) {
	err := json.Unmarshal(rc.Request.Body(), call)
	if err == nil {
		err = Validate(call)
	}
	if err != nil {
		Reject(rc, 400, BodyField, err.Error())
	}
	return err == nil
}
