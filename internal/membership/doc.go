// Package membership tracks which nodes of the system are alive, by a gossip
// protocol after SWIM (Das, Gupta and Motivala, DSN 2002).
//
// Each node probes one peer after the other. A peer that does not acknowledge a
// probe in time is probed indirectly, through two others; without an
// acknowledgement then it becomes suspect, and dead when the suspicion timeout
// has passed without its refuting. Probes and acknowledgements carry gossip about
// other peers. A peer's incarnation number, which only that peer raises (and a
// prober that has an indirect acknowledgement from it), orders what is said of
// it.
//
// Gossip sends an entry a few times only. What it misses is found by digests of the views,
// which probes and acknowledgements carry, and is fetched (anti-entropy).
//
// View is the protocol as a pure state machine: time and messages are arguments,
// what is to be sent is the result, and it takes random numbers from its caller.
// Monitor runs a View over the transport. It guarantees neither that a live node
// is never taken for dead nor that all nodes agree at any moment; views converge
// when messages get through.
//
// The Monitor's mutex guards its View. The goroutine of Monitor.Run calls Tick;
// the transport's goroutine for datagrams calls Receive; any goroutine may call
// the exported methods of Monitor.
package membership
