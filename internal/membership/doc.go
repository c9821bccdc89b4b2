// Package membership tracks which nodes of the system are alive, using a gossip
// protocol based on SWIM (Das, Gupta and Motivala, DSN 2002).
//
// Each node probes its peers one after the other. A peer that does not acknowledge
// a probe in time is probed indirectly, through two others. If that fails too, it
// becomes suspect, and it becomes dead if it has not refuted the suspicion before
// the suspicion timeout. Probes and acknowledgements carry gossip: entries about
// other peers. Entries about a peer are ordered by its incarnation number, which
// only that peer raises (and a prober that has an indirect acknowledgement from
// it).
//
// Gossip sends each changed entry only a limited number of times. Nodes detect
// missed entries by the view digests in probes and acknowledgements, and fetch
// them (anti-entropy).
//
// View is the protocol as a pure state machine: time and messages are arguments,
// the datagrams to send are results, and the caller supplies the random numbers.
// Monitor runs a View over the transport. A live node may be marked dead, and views
// of different nodes may differ at any moment; they converge once messages get
// through.
//
// The Monitor's mutex guards its View. The goroutine of Monitor.Run calls Tick;
// the transport's goroutine for datagrams calls Receive; any goroutine may call
// the exported methods of Monitor.
package membership
