package consensus

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// keep makes what is learned durable.
func (m *member) keep() {
	for part := range m.acc {
		if m.acc[part].Learn(m.known[part]) {
			m.disk[part] = m.acc[part].Rec
		}
	}
}

func (o *office) crash(m *member) {
	m.up = false
	for part := range m.acc {
		m.acc[part].Rec = m.disk[part]
		m.known[part] = m.disk[part].Committed
	}
	var left []*pending
	for _, p := range o.pending {
		if p.at != m {
			left = append(left, p)
		}
	}
	o.pending = left
}

// wipe takes a disk away: the member comes back as somebody new.
func (o *office) wipe(m *member) {
	m.life++
	id := fmt.Sprintf("%s/w%d", m.addr, m.life)
	m.disk, m.known = [2]messages.Record{}, [2]messages.Value{}
	m.acc = [2]Acceptor{{ID: id}, {ID: id}}
}

// whole tells that every member of both groups has the newest value on its
// disk: only then another disk may be lost.
func (o *office) whole() bool {
	for part, v := range o.newest {
		for _, m := range v.Group {
			at := o.byAddr(m.Addr)
			if at.acc[part].ID != m.ID || at.disk[part].Committed.Version != v.Version {
				return false
			}
		}
	}
	return true
}

func (o *office) loseDisk() {
	for _, m := range o.members {
		m.keep()
	}
	if !o.whole() {
		return
	}
	m := o.members[o.rnd.IntN(len(o.members))]
	o.hist.Note("%s loses its disk", m.addr)
	o.crash(m)
	o.wipe(m)
	m.up = true
}

// regroup lets a member propose another group: a lost member's new life, or the
// spare one for a member that is thought to be gone.
func (o *office) regroup() {
	at := o.anyUp()
	if at == nil {
		return
	}
	var gone string
	if o.lot(3) {
		gone = o.members[o.rnd.IntN(len(o.members))].addr
	}
	for part := range at.acc {
		var ready []messages.Member
		for _, m := range o.members {
			if m.up && m.addr != gone {
				ready = append(ready, messages.Member{ID: m.acc[part].ID, Addr: m.addr})
			}
		}
		status := Status{Ready: ready, GoneUs: 1, GoneFor: func(addr string) int64 {
			if addr == gone {
				return 1
			}
			return 0
		}}
		o.start(&pending{id: -1, at: at, part: part}, func(cur messages.Value) ([]messages.Member, []byte, error) {
			group, want := RepairGroup(cur.Group, status)
			if !want {
				return nil, nil, errSettledHere
			}
			return group, cur.Body, nil
		})
	}
}

// release starts every member again with a version of the program whose checks
// are stricter, or laxer again.
func (o *office) release() {
	o.stricter = !o.stricter
	o.hist.Note("all start again, stricter: %v", o.stricter)
	for _, m := range o.members {
		o.crash(m)
		m.up = true
	}
}
