package messages

import "github.com/pkg/errors"

// DecodeLeaseBody reads the body of a register that has a lease. A register without a body has
// an empty one.
func DecodeLeaseBody(v Value) (LeaseBody, error) {
	body := LeaseBody{Targets: []Target{}}
	if len(v.Body) == 0 {
		return body, nil
	}
	if _, err := body.UnmarshalMsg(v.Body); err != nil {
		return body, errors.Wrap(err, "messages: decode the body of a register with a lease")
	}
	return body, nil
}

// DecodeConfigBody reads the body of the configuration's register. A register without a body has
// an empty one.
func DecodeConfigBody(v Value) (ConfigBody, error) {
	var body ConfigBody
	if len(v.Body) == 0 {
		return body, nil
	}
	if _, err := body.UnmarshalMsg(v.Body); err != nil {
		return body, errors.Wrap(err, "messages: decode the body of the configuration's register")
	}
	return body, nil
}
