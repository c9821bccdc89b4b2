package quotaclient

import "beechtide.org/beechtide/internal/quota"

// Outcome is what became of a question for a token.
type Outcome int

// Outcomes of a question.
const (
	Granted Outcome = iota
	Denied          // the tenant is at its limit
	Unknown         // no owner has answered
)

// Answer is what became of a question for a token.
type Answer struct {
	Outcome Outcome
	Token   quota.Token
	// WaitUs is after how long the client may come back where there is no token, in
	// microseconds.
	WaitUs int64
}

// Counts are the figures of a Client since its start.
type Counts struct {
	Granted int64 // tokens that were granted
	Denied  int64 // requests that were over their limit
	Unowned int64 // requests that ran without a token
	Unknown int64 // requests that were rejected as no owner answered
}

// Counts returns the figures of this moment.
func (c *Client) Counts() Counts {
	return Counts{Granted: c.granted.Load(), Denied: c.denied.Load(), Unowned: c.unowned.Load(), Unknown: c.unknown.Load()}
}
