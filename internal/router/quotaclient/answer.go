package quotaclient

import "beechtide.org/beechtide/internal/quota"

// Outcome is the result of a token request.
type Outcome int

// Results of a token request.
const (
	Granted Outcome = iota
	Denied          // the tenant is at its limit
	Unknown         // no owner of the quota answered in time
)

// Answer is the result of Client.Acquire: a token, or how long to wait before a retry.
type Answer struct {
	Outcome Outcome
	Token   quota.Token
	// WaitUs is the time after which the client may retry if there is no token, in
	// microseconds.
	WaitUs int64
}

// Counts are the totals of a Client since its start.
type Counts struct {
	Granted int64 // tokens that were granted
	Denied  int64 // requests over the limit of their tenant
	Unowned int64 // requests that ran without a token
	Unknown int64 // requests rejected because no owner answered
}

// Counts returns the current totals.
func (c *Client) Counts() Counts {
	return Counts{Granted: c.granted.Load(), Denied: c.denied.Load(), Unowned: c.unowned.Load(), Unknown: c.unknown.Load()}
}
