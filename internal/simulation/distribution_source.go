package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// Periods and timeouts of a controller.
const (
	feedEveryUs     = 200 * Millisecond
	catchUpUs       = 500 * Millisecond
	catchUpWaitUs   = 450 * Millisecond
	unfinishedMinUs = 300 * Millisecond
	unfinishedMaxUs = 900 * Millisecond
)

// source is the configuration side of a controller.
type source struct {
	d                *distribution
	addr             string
	process          *Process
	acceptedReleases []*release // the releases that it has accepted, on disk
	knownVersion     int64      // the newest committed version on its disk
	downUs           int64      // when it was last stopped or frozen in this life; 0 for never
	startUs          int64

	// The fields below are reset with each life of the process.
	replica     *routeconfig.Replica
	contact     *lease.Contact
	subscribers []*subscription
}

func newSource(d *distribution, i int) *source {
	return &source{d: d, addr: fmt.Sprintf("c%d", i+1), process: NewProcess(d.kernel)}
}

func (s *source) address() string { return s.addr }

func (s *source) proc() *Process { return s.process }

// boot starts a life from the disk, which may hold the newest version that was learned or
// one up to two versions older.
func (s *source) boot() {
	s.process.Start()
	s.startUs, s.downUs = s.process.NowUs(), 0
	s.replica, s.contact, s.subscribers = routeconfig.NewSource(), &lease.Contact{Self: s.addr}, nil
	if s.knownVersion > 0 {
		recalled := max(s.knownVersion-int64(s.d.kernel.Below(3)), 1)
		s.knownVersion = 0
		s.learn(s.d.releases[recalled-1])
	}
	s.d.every(s.process, feedEveryUs, func() { s.publish(nil) })
	s.d.every(s.process, catchUpUs, s.catchUp)
	for _, r := range s.acceptedReleases {
		s.finishLater(r)
	}
}

func (s *source) reaches(other *source) bool {
	n := s.d.network
	return other.process.Up() && !other.process.frozen && n.Link(s.addr, other.addr).Cuts == 0 && n.Link(other.addr, s.addr).Cuts == 0
}

// reachesMost reports whether it reaches a majority of the controllers, including itself.
func (s *source) reachesMost() bool {
	reached := 1
	for _, other := range s.d.controllers {
		if other != s && s.reaches(other) {
			reached++
		}
	}
	return reached > len(s.d.controllers)/2
}

// recordAccepted records a release that the process has accepted and whose commit it may never receive.
func (s *source) recordAccepted(r *release) {
	s.acceptedReleases = append(s.acceptedReleases, r)
	s.finishLater(r)
}

// finishLater reads the register by a majority if the round of a release remains unfinished
// for a while.
func (s *source) finishLater(r *release) {
	if s.d.defects.LeaveRoundsUnfinished || s.knownVersion >= r.version {
		return
	}
	s.process.After(s.d.kernel.Between(unfinishedMinUs, unfinishedMaxUs), func() {
		s.d.step(s.process, func() {
			if s.knownVersion < r.version && s.reachesMost() {
				s.learn(s.d.releases[len(s.d.releases)-1])
			}
			s.finishLater(r)
		})
	})
}

// learn applies a committed release, never an older one, and publishes the change.
func (s *source) learn(r *release) {
	if r.version <= s.knownVersion {
		return
	}
	s.knownVersion = r.version
	if change, newer := s.replica.Commit(r.version, r.entries); newer {
		s.d.step(s.process, func() { s.publish([]messages.EntryChange{change}) })
	}
}

func (s *source) group() []string {
	var out []string
	for _, c := range s.d.controllers {
		out = append(out, c.addr)
	}
	return out
}

func (s *source) inContact() bool { return s.contact.Holds(s.group(), s.process.NowUs()) }

func (s *source) startingUp() bool { return s.process.NowUs()-s.startUs < lease.ContactUs }

func (s *source) feed() messages.Feed {
	return messages.Feed{Versions: []int64{s.replica.Version()}, CutOff: !s.startingUp() && !s.inContact()}
}

func (s *source) publish(changes []messages.EntryChange) {
	f := s.feed()
	f.Configuration = changes
	s.subscribers = pushAll(s.subscribers, f)
}

// feedSince returns a feed with the changes that a router is missing. A router without any
// configuration receives none from a controller without the contact lease, unless it
// accepts any configuration.
func (s *source) feedSince(h messages.SyncState) messages.Feed {
	f := s.feed()
	if h.Configuration.Version == 0 && !h.Anything && !s.inContact() {
		return f
	}
	if change, lacks := s.replica.DeltaSince(h.Configuration); lacks {
		f.Configuration = []messages.EntryChange{change}
	}
	return f
}

func (s *source) subscribe(sub *subscription) { s.subscribers = append(s.subscribers, sub) }

// catchUp compares versions with the other controllers, which also renews the contact lease.
func (s *source) catchUp() {
	for _, other := range s.d.controllers {
		if other == s {
			continue
		}
		sentUs := s.process.NowUs()
		s.d.call(s.process, s.addr, other.process, other.addr, catchUpWaitUs, func() func() {
			known := other.knownVersion
			return func() {
				s.contact.RecordAnswer(other.addr, sentUs)
				if known > s.knownVersion {
					s.learn(s.d.releases[known-1])
				}
			}
		}, func(bool) {})
	}
}
