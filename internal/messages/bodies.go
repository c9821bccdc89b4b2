package messages

import "github.com/pkg/errors"

// DecodeLeaseBody decodes the body of a register that holds a lease. If the register has no
// body, it returns an empty one.
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

// DecodeConfigBody decodes the body of the configuration's register. If the register has no
// body, it returns an empty one.
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
