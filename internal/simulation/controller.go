// Controllers: the members of the registers. Each one keeps its identity and
// its records on its disk, and no response leaves before the record that it
// rests on is durable.
package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Registers of the model, by part.
const (
	configPart = iota // the operator's configuration
	dutyPart          // named weights and the lease of the one who rolls them out
	parts
)

// identityFile is where a controller keeps who it is.
const identityFile = "identity"

// busyWaitUs is how long a request waits for the record it is about.
const busyWaitUs = 2 * Second

// register is a controller's part in one register.
type register struct {
	acceptor consensus.Acceptor
	learned  *messages.Value
	waiting  []func(release func())
	busy     bool
	keeping  bool
}

// Controller is one machine with a disk and the process on it.
type Controller struct {
	cluster *Cluster
	addr    string
	process *Process
	disk    *Storage

	// What follows is gone with each life of the process.
	id        string
	registers [parts]*register
	heard     map[string]peer
	repairing bool
	duty      lease.Lease
	dutyBusy  bool
	actedAs   int64 // the fence under which it has noted that it acted
}

// peer is another controller as it was last heard of.
type peer struct {
	id      string
	heardUs int64 // by the hearer's monotonic clock
}

func recordFile(part int) string { return fmt.Sprintf("part-%d", part) }

// boot begins a life of the process. Founders without a record start from the
// first group.
func (c *Controller) boot(founding bool) {
	c.process.Start()
	c.heard, c.repairing, c.dutyBusy, c.actedAs = map[string]peer{}, false, false, 0
	c.duty = lease.Lease{T: dutyTimes}
	c.id, c.registers = "", [parts]*register{}
	if kept, ok := c.disk.Read(identityFile); ok {
		c.open(string(kept), founding)
		return
	}
	id := consensus.FirstID(c.addr)
	if !founding {
		c.cluster.serial++
		id = fmt.Sprintf("%s/w%d", c.addr, c.cluster.serial)
	}
	c.disk.Write(identityFile, []byte(id), c.afterWrite(func(err error) {
		if err != nil {
			c.process.Stop()
			c.cluster.kernel.After(Second, func() { c.cluster.restart(c) })
			return
		}
		c.open(id, founding)
	}))
}

// afterWrite binds the end of a write to the present life.
func (c *Controller) afterWrite(done func(error)) func(error) {
	var result error
	run := c.process.InLife(func() { done(result) })
	return func(err error) {
		result = err
		run()
	}
}

// open loads the records and begins to work once a founder's first group is on
// disk: else a group that has not yet taken a value would forget itself.
func (c *Controller) open(id string, founding bool) {
	c.id = id
	unsaved := 0
	for part := range c.registers {
		var record messages.Record
		raw, ok := c.disk.Read(recordFile(part))
		if ok {
			if _, err := record.UnmarshalMsg(raw); err != nil {
				c.cluster.kernel.Fail("a record at %s does not read: %v", c.addr, err)
			}
		} else if founding {
			record.Committed = c.cluster.genesis()
		}
		r := &register{acceptor: consensus.Acceptor{ID: id, Rec: record}}
		c.registers[part] = r
		if len(record.Committed.Group) > 0 {
			value := record.Committed
			r.learned = &value
		}
		if !ok && founding && !c.cluster.defects.ForgetGenesis {
			unsaved++
			c.save(part, func(error) {
				if unsaved--; unsaved == 0 {
					c.work()
				}
			})
		}
	}
	if unsaved == 0 {
		c.work()
	}
}

// work begins what a controller does by itself.
func (c *Controller) work() {
	c.cluster.kernel.Note("%s is up as %s", c.addr, c.id)
	c.every(pingEveryUs, c.ping)
	c.every(repairEveryUs, c.repairGroups)
	c.every(dutyEveryUs, c.workDuty)
}

// every repeats something for as long as the life lasts.
func (c *Controller) every(periodUs int64, run func()) {
	c.process.After(c.cluster.kernel.Between(periodUs/2, periodUs), func() {
		run()
		c.every(periodUs, run)
	})
}

// committed is the newest committed value the node knows.
func (c *Controller) committed(part int) (messages.Value, bool) {
	if c.registers[part] == nil || c.registers[part].learned == nil {
		return messages.Value{}, false
	}
	return *c.registers[part].learned, true
}

// learn takes in a committed value, never an older one, and keeps it.
func (c *Controller) learn(part int, v messages.Value) {
	r := c.registers[part]
	if r == nil || len(v.Group) == 0 || r.learned != nil && r.learned.Version >= v.Version {
		return
	}
	c.cluster.checks.committed(c, part, v)
	r.learned = &v
	if !r.keeping {
		r.keeping = true
		c.keep(part)
	}
}

// keepAgainUs is how long a member waits before it tries a refused write again.
const keepAgainUs = 300 * Millisecond

// keep makes what was learned durable, apart from everything else.
func (c *Controller) keep(part int) {
	r := c.registers[part]
	r.acquire(func(release func()) {
		before, kept := r.acceptor.Rec, r.learned
		if !r.acceptor.Fold(*kept) {
			release()
			r.keeping = false
			return
		}
		c.save(part, func(err error) {
			if err != nil {
				r.acceptor.Rec = before
			}
			release()
			switch {
			case err != nil:
				c.process.After(keepAgainUs, func() { c.keep(part) })
			case r.learned != kept:
				c.keep(part)
			default:
				r.keeping = false
			}
		})
	})
}

func (c *Controller) save(part int, done func(error)) {
	raw, err := c.registers[part].acceptor.Rec.MarshalMsg(nil)
	if err != nil {
		c.cluster.kernel.Fail("a record does not marshal: %v", err)
	}
	c.disk.Write(recordFile(part), raw, c.afterWrite(done))
}

// acquire runs something while nothing else is at the record.
func (r *register) acquire(run func(release func())) {
	if r.busy {
		r.waiting = append(r.waiting, run)
		return
	}
	r.busy = true
	run(r.release)
}

func (r *register) release() {
	r.busy = false
	if len(r.waiting) == 0 {
		return
	}
	next := r.waiting[0]
	r.waiting = r.waiting[1:]
	r.acquire(next)
}

// handle answers a request between members. No reply is given where the disk
// refuses or the record stays busy.
func (c *Controller) handle(request messages.ConsensusRequest, reply func(messages.ConsensusResponse)) {
	r := c.registers[request.Part]
	if r == nil {
		return
	}
	if request.Step == messages.Commit {
		c.learn(request.Part, request.Value)
		reply(messages.ConsensusResponse{Verdict: messages.Granted})
		return
	}
	untilUs := c.process.NowUs() + busyWaitUs
	r.acquire(func(release func()) {
		if c.process.NowUs() > untilUs {
			release()
			return
		}
		if r.learned != nil {
			r.acceptor.Fold(*r.learned)
		}
		before := r.acceptor.Rec
		response, changed := r.acceptor.Handle(request)
		if !changed {
			release()
			reply(response)
			return
		}
		if c.cluster.defects.RespondBeforeDurable {
			reply(response)
		}
		c.save(request.Part, func(err error) {
			if err != nil {
				r.acceptor.Rec = before
			}
			release()
			if err == nil {
				reply(response)
			}
		})
	})
}

// call carries a request to a member and its response back, or neither.
func (c *Controller) call(to string, request messages.ConsensusRequest, done func(messages.ConsensusResponse)) {
	if to == c.addr {
		c.handle(request, done)
		return
	}
	target := c.cluster.at(to)
	if target == nil {
		return
	}
	net, life, answered := c.cluster.network, c.process.life, false
	net.Send(c.addr, to, func() {
		target.process.Deliver(func() {
			target.handle(request, func(response messages.ConsensusResponse) {
				net.Send(to, c.addr, c.process.inLifeOf(life, func() {
					if !answered {
						answered = true
						done(response)
					}
				}))
			})
		})
	})
}

// Pings between controllers, and what they conclude from them. They stand for
// membership.View: what one has heard of another travels on, so that cuts are
// gone round.
const (
	pingEveryUs = 300 * Millisecond
	silentUs    = 1_500 * Millisecond
	unknownUs   = 2 * Second
)

// ping tells the others who this is, whom it has heard and what it knows.
func (c *Controller) ping() {
	now := c.process.NowUs()
	ages := map[string]peer{c.addr: {id: c.id}}
	for addr, p := range c.heard {
		ages[addr] = peer{id: p.id, heardUs: now - p.heardUs}
	}
	var versions [parts]int64
	for part := range versions {
		if v, ok := c.committed(part); ok {
			versions[part] = v.Version
		}
	}
	for _, to := range c.cluster.controllers {
		if to != c {
			c.cluster.network.Send(c.addr, to.addr, func() {
				to.process.Deliver(func() { to.pinged(c.addr, ages, versions) })
			})
		}
	}
}

// pinged takes the word of another controller and pulls what it lacks.
func (c *Controller) pinged(from string, ages map[string]peer, versions [parts]int64) {
	if c.id == "" {
		return
	}
	now := c.process.NowUs()
	for addr, p := range ages {
		heardUs := now - p.heardUs
		if known, ok := c.heard[addr]; addr != c.addr && (!ok || known.heardUs < heardUs) {
			c.heard[addr] = peer{id: p.id, heardUs: heardUs}
		}
	}
	for part, version := range versions {
		mine, known := c.committed(part)
		if !known || mine.Version < version {
			c.pull(from, part)
		}
	}
}

// pull learns what another controller has committed.
func (c *Controller) pull(from string, part int) {
	c.call(from, messages.ConsensusRequest{Part: part, Step: messages.Read}, func(r messages.ConsensusResponse) {
		c.learn(part, r.Value)
	})
}

// silentForUs tells for how long a peer has been taken for dead.
func (c *Controller) silentForUs(addr string) int64 {
	if addr == c.addr {
		return 0
	}
	p, known := c.heard[addr]
	if !known {
		return max(c.process.NowUs()-unknownUs, 0)
	}
	return max(c.process.NowUs()-p.heardUs-silentUs, 0)
}

// alive lists the live controllers by address, this one included.
func (c *Controller) alive() []messages.Peer {
	out := []messages.Peer{{Addr: c.addr, MemberID: c.id}}
	for addr, p := range c.heard {
		if c.silentForUs(addr) == 0 {
			out = append(out, messages.Peer{Addr: addr, MemberID: p.id})
		}
	}
	slices.SortFunc(out, func(a, b messages.Peer) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}
