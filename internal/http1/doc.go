// Package http1 parses HTTP/1.1 requests as defined by RFC 9110 and RFC 9112, and rewrites
// each one to a single canonical form for the HTTP library that serves it.
//
// Clients may write the same request in many ways: field names in upper or lower case,
// optional white space around values, chunk extensions, trailers, absolute targets, empty
// lines before a request. A Rewriter receives the bytes of a connection and returns the same
// requests in canonical form. A request that violates the protocol or is ambiguous results
// in an *Error with the status to send to the client. An error in the head returns nothing
// of that request; after any error the connection must be closed.
//
// # Guarantees
//
//   - The output of a request is a request line, fields with valid names and values, and a
//     body of the length that the head declares (or chunks without extensions and trailers).
//     No other bytes precede the next request.
//   - A head over Limits.HeadBytes, or a body over Limits.BodyBytes, is an error before more
//     than the limit is held in memory.
//   - Memory for a head that has not ended, and for a body, is reserved by Rewriter.Reserve before it is
//     needed.
//   - Hop-by-hop fields are removed, except what the library needs to decide whether to close
//     the connection or to keep it open.
//
// A Rewriter performs no I/O and starts no goroutine. It is not safe for concurrent use.
package http1

// Limits are the maximum sizes of a request, in bytes.
type Limits struct {
	HeadBytes int   // request line and fields, as sent by the client
	BodyBytes int64 // body after decoding of chunks
}

// Statuses of rejected requests.
const (
	statusBadRequest          = 400
	statusBodyTooLarge        = 413
	statusExpectationFailed   = 417
	statusHeadTooLarge        = 431
	statusNotImplemented      = 501
	statusUnavailable         = 503
	statusVersionNotSupported = 505
)

// Error reports why a request was rejected, and the status of the response. Reason is sent
// to the client.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason with the name of the package.
func (e *Error) Error() string { return "http1: " + e.Reason }

func badRequest(reason string) *Error { return &Error{statusBadRequest, reason} }
