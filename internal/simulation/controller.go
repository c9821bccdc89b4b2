// Model of a controller as a member of the registers. It stores its identity and its
// records on its disk and sends no response before the record behind it is durable.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Indexes of the registers of the model.
const (
	configPart       = iota // the operator's configuration
	rolloutLeasePart        // named weights and the lease of the controller that rolls them out
	parts
)

// identityFile holds the member id of a controller.
const identityFile = "identity"

// acquireTimeoutUs is how long a request may wait for exclusive access to its record.
const acquireTimeoutUs = 2 * Second

// register is a controller's state of one register.
type register struct {
	acceptor       consensus.Acceptor
	learned        *messages.Value
	waiters        []func(release func())
	busy           bool
	persisting     bool
	durableVersion int64 // the committed version on disk, notOnDisk for none
	repair         groupRepair
}

// notOnDisk means that no committed value is on disk.
const notOnDisk = -1

// Controller models one machine with a disk and a controller process.
type Controller struct {
	cluster *Cluster
	addr    string
	process *Process
	disk    *Storage
	memory  bool // the machine has no disk and is not counted: disk holds the memory of the process

	// The fields below are reset with each life of the process.
	id        string
	registers [parts]*register
	peerView
	rolloutLease  lease.Lease
	takeover      lease.Takeover
	diskFault     bool // the last write failed
	leaseBusy     bool
	recordedFence int64 // the fence that it last recorded in actedFile
	synced        bool  // the content that was read from the disk is durable
	shutdown      shutdown
	contact       lease.Contact
	handledUs     map[string]int64 // by member id: virtual time at which it last handled a request of this process
}

// peerView is what a controller knows about the others.
type peerView struct {
	peers          map[string]peer
	lastAnsweredUs map[string]int64 // by address: send time of the last ping that was answered
	seenCounted    bool             // a counted controller has been alive in this process's life
}

// hasSeenCounted reports whether a counted controller has been alive in this process's life.
func (v *peerView) hasSeenCounted(alive []messages.Peer) bool {
	v.seenCounted = v.seenCounted || consensus.HasCounted(alive)
	return v.seenCounted
}

// peer is the last news of another controller.
type peer struct {
	id          string
	lastHeardUs int64 // by the receiver's monotonic clock
}

func recordFile(part int) string { return fmt.Sprintf("part-%d", part) }

// boot starts a life of the process. A founder without a record starts from the initial
// group.
func (c *Controller) boot(founding bool) {
	c.process.Start()
	c.peerView = peerView{peers: map[string]peer{}, lastAnsweredUs: map[string]int64{}}
	c.leaseBusy, c.recordedFence = false, 0
	c.rolloutLease = lease.Lease{Times: controllerLeaseTimes}
	c.takeover = lease.Takeover{}
	c.synced = false
	c.shutdown, c.contact, c.handledUs = shutdown{}, lease.Contact{}, map[string]int64{}
	c.id, c.registers = "", [parts]*register{}
	if identity, ok := c.disk.Read(identityFile); ok {
		c.open(string(identity), founding)
		return
	}
	id := consensus.BootstrapID(c.addr)
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

// afterWrite returns a completion callback for a write that only runs in the current life.
func (c *Controller) afterWrite(done func(error)) func(error) {
	var result error
	run := c.process.InLife(func() { done(result) })
	return func(err error) {
		result = err
		run()
	}
}

// open loads the records and starts the periodic work. A founder first writes the initial
// group to disk: otherwise a group that has not yet accepted a value would be lost in a
// restart.
func (c *Controller) open(id string, founding bool) {
	c.id = id
	c.contact.Self = id
	unsaved := 0
	for part := range c.registers {
		var record messages.Record
		raw, ok := c.disk.Read(recordFile(part))
		if ok {
			if _, err := record.UnmarshalMsg(raw); err != nil {
				c.cluster.kernel.Fail("a record at %s does not read: %v", c.addr, err)
			}
		} else if founding {
			record.Committed = c.cluster.initialValue()
		}
		r := &register{acceptor: consensus.Acceptor{ID: id, Record: record}, durableVersion: notOnDisk}
		if ok && len(record.Committed.Group) > 0 {
			r.durableVersion = record.Committed.Version
		}
		c.registers[part] = r
		if len(record.Committed.Group) > 0 {
			value := record.Committed
			r.learned = &value
		}
		if !ok && founding && !c.cluster.defects.SkipInitialGroupWrite {
			unsaved++
			c.saveRecord(part, func(error) {
				if unsaved--; unsaved == 0 {
					c.startTasks()
				}
			})
		}
	}
	if unsaved == 0 {
		c.startTasks()
	}
}

// startTasks starts the periodic tasks.
func (c *Controller) startTasks() {
	c.cluster.kernel.Log("%s is up as %s", c.addr, c.id)
	c.every(pingEveryUs, c.ping)
	c.every(repairEveryUs, c.repairGroups)
	c.every(leaseStepEveryUs, c.stepLease)
}

// every runs a callback periodically for the rest of the current life.
func (c *Controller) every(periodUs int64, run func()) {
	c.process.After(c.cluster.kernel.Between(periodUs/2, periodUs), func() {
		run()
		c.every(periodUs, run)
	})
}

// committed returns the newest committed value that this node has learned.
func (c *Controller) committed(part int) (messages.Value, bool) {
	if c.registers[part] == nil || c.registers[part].learned == nil {
		return messages.Value{}, false
	}
	return *c.registers[part].learned, true
}

// learn records a committed value if it is newer than the last one, and makes it durable.
func (c *Controller) learn(part int, v messages.Value) {
	r := c.registers[part]
	if r == nil || len(v.Group) == 0 || r.learned != nil && r.learned.Version >= v.Version {
		return
	}
	c.cluster.checks.checkCommitted(c, part, v)
	r.learned = &v
	if !r.persisting {
		r.persisting = true
		c.persistLearned(part)
	}
}

// persistRetryUs is the delay before a failed write is retried.
const persistRetryUs = 300 * Millisecond

// persistLearned makes the learned value durable in the background.
func (c *Controller) persistLearned(part int) {
	r := c.registers[part]
	r.acquire(func(release func()) {
		value := r.learned
		c.makeDurable(part, *value, func(err error) {
			release()
			switch {
			case err != nil:
				c.process.After(persistRetryUs, func() { c.persistLearned(part) })
			case r.learned != value:
				c.persistLearned(part)
			default:
				r.persisting = false
			}
		})
	})
}

// makeDurable applies a committed value to the record and saves it, unless it is on disk
// already. The caller has acquired the register.
func (c *Controller) makeDurable(part int, v messages.Value, done func(error)) {
	r := c.registers[part]
	before := r.acceptor.Record
	if !r.acceptor.Learn(v) && r.durableVersion >= r.acceptor.Record.Committed.Version {
		c.sync(done)
		return
	}
	c.saveRecord(part, func(err error) {
		if err != nil {
			r.acceptor.Record = before
		}
		done(err)
	})
}

// sync makes the records durable that this life has read: a killed process may have left unsynced
// ones. After a success it does nothing more in this life.
func (c *Controller) sync(done func(error)) {
	if c.synced {
		done(nil)
		return
	}
	c.disk.Sync(c.afterWrite(func(err error) {
		c.synced = c.synced || err == nil
		done(err)
	}))
}

func (c *Controller) saveRecord(part int, done func(error)) {
	r := c.registers[part]
	raw, err := r.acceptor.Record.MarshalMsg(nil)
	if err != nil {
		c.cluster.kernel.Fail("a record does not marshal: %v", err)
	}
	committed := r.acceptor.Record.Committed
	c.disk.Write(recordFile(part), raw, c.afterWrite(func(err error) {
		if err == nil && len(committed.Group) > 0 {
			r.durableVersion = committed.Version
		}
		c.diskFault = err != nil
		done(err)
	}))
}

// acquire runs a callback with exclusive access to the record, until it calls release.
func (r *register) acquire(run func(release func())) {
	if r.busy {
		r.waiters = append(r.waiters, run)
		return
	}
	r.busy = true
	run(r.release)
}

func (r *register) release() {
	r.busy = false
	if len(r.waiters) == 0 {
		return
	}
	next := r.waiters[0]
	r.waiters = r.waiters[1:]
	r.acquire(next)
}

// handleRequest processes a request of another member. It doesn't reply if the write fails or
// the record stays busy for too long.
func (c *Controller) handleRequest(request messages.ConsensusRequest, reply func(messages.ConsensusResponse)) {
	r := c.registers[request.Part]
	if r == nil {
		return
	}
	if request.Step == messages.Commit {
		c.learn(request.Part, request.Value)
		if request.Flush {
			c.handleFlush(request, reply)
			return
		}
		reply(messages.ConsensusResponse{Verdict: messages.Granted})
		return
	}
	deadlineUs := c.process.NowUs() + acquireTimeoutUs
	r.acquire(func(release func()) {
		if c.process.NowUs() > deadlineUs {
			release()
			return
		}
		if r.learned != nil {
			r.acceptor.Learn(*r.learned)
		}
		before := r.acceptor.Record
		response, changed := r.acceptor.Handle(request)
		if !changed {
			c.sync(func(err error) {
				release()
				if err == nil {
					reply(response)
				}
			})
			return
		}
		if c.cluster.defects.RespondBeforeDurable {
			reply(response)
		}
		c.saveRecord(request.Part, func(err error) {
			if err != nil {
				r.acceptor.Record = before
			}
			release()
			if err == nil {
				reply(response)
			}
		})
	})
}

// call sends a request to a member. done is called at most once, with the response.
func (c *Controller) call(to string, request messages.ConsensusRequest, done func(messages.ConsensusResponse)) {
	if to == c.addr {
		c.handleRequest(request, done)
		return
	}
	target := c.cluster.controllerAt(to)
	if target == nil {
		return
	}
	network, life, answered := c.cluster.network, c.process.life, false
	sentUs := c.process.NowUs()
	network.Send(c.addr, to, func() {
		target.process.Deliver(func() {
			target.handleRequest(request, func(response messages.ConsensusResponse) {
				c.recordHandled(target.id, life)
				network.Send(to, c.addr, c.process.inLifeOf(life, func() {
					if !answered {
						answered = true
						c.recordAnswer(request, response, sentUs)
						done(response)
					}
				}))
			})
		})
	})
}
