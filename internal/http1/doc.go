// Package http1 reads HTTP/1.1 requests as RFC 9110 and RFC 9112 define them, and rewrites
// each one to a single canonical form for the HTTP library behind it.
//
// Clients may write the same request in many ways: names in any case of letters, any white
// space around values, chunk extensions, trailers, targets with a scheme, empty lines ahead
// of a request. A Rewriter takes the bytes of a connection and returns those of the same
// requests in one form. What breaks the protocol, or can be read in two ways, is an *Error
// with the status that the client gets; nothing of that request is returned, and the
// connection has to end.
//
// # What it guarantees
//
//   - What is returned is a request line, fields with names and values of valid characters,
//     a body of the length that the head gives (or chunks without extensions and trailers),
//     and nothing behind it before the next request.
//   - A head over Limits.HeadBytes, or a body over Limits.BodyBytes, is an error before more
//     than the limit is kept in memory.
//   - Fields that concern one connection only are not returned, but for what the library
//     needs: whether the connection is to be closed or kept.
//
// A Rewriter does no input or output and starts no goroutine. It is not safe for concurrent
// use.
package http1

// Limits bound what a client may send, in bytes.
type Limits struct {
	HeadBytes int   // of the request line and the fields, as they were sent
	BodyBytes int64 // of the body, decoded
}

// Statuses of requests that are not taken.
const (
	statusBadRequest        = 400
	statusBodyTooLarge      = 413
	statusExpectationFailed = 417
	statusHeadTooLarge      = 431
	statusNotImplemented    = 501
	statusVersion           = 505
)

// Error says why a request is not taken, and with which status.
type Error struct {
	Status int
	Reason string
}

// Error describes the request.
func (e *Error) Error() string { return "http1: " + e.Reason }

func badRequest(reason string) *Error { return &Error{statusBadRequest, reason} }
