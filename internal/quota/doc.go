// Package quota limits the request rate of each tenant over all routers together.
//
// Each tenant's requests are counted by one controller, the owner of the tenant's shard. A
// router requests tokens from the owner, and sends a request to a runner only with a token
// that has not expired (see Allowance). A Member implements the controller's side: it
// claims shards, votes for the claims of other members, counts requests as an owner and
// stores copies of reserves as a successor. A Grantee implements the router's side.
//
// # Guarantees
//
// A shard has one owner at a time: its lease needs the votes of a majority of the group, a
// voter votes for one claimant until the vote has expired, and a process that has just
// started does not vote before all votes of an earlier one have expired. The owner counts
// with one token bucket for each tenant. A new owner starts with the tokens that its
// predecessor has reserved for it, or with Allowance.Initial if that is more. So, apart
// from Allowance.Initial, all tokens of a tenant come from one bucket, and the requests
// that run in a window are bounded as described at Bounds.Allowance.
//
// Everything here is pure: times are whole microseconds of the process's own monotonic
// clock, given as arguments. No type is safe for concurrent use.
package quota
