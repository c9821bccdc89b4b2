// Package doctor looks for common faults: Examine is pure and goes by what nodes
// said of themselves and which did not answer; Visit collects that.
package doctor

import (
	"fmt"
	"sort"

	"beechtide.org/beechtide/internal/messages"
)

// Severity of a finding.
type Severity string

// Severities.
const (
	Warning Severity = "warning"
	Fault   Severity = "fault"
)

// Finding is one line: what is wrong, and what to do.
type Finding struct {
	Severity Severity `json:"severity"`
	About    string   `json:"about"`
	What     string   `json:"what"`
	Do       string   `json:"do"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s; %s", f.Severity, f.About, f.What, f.Do)
}

// Visited is what was found out about one address.
type Visited struct {
	Addr      string
	Role      messages.Role
	Seed      bool
	Condition *messages.Condition // nil: no answer
	AskedUs   int64               // the doctor's time of day when it asked
	TookUs    int64
}

// Limits of what is taken as well.
const (
	slowSaveUs = 250_000
	clockApart = 500_000
)

// Examine names the faults.
func Examine(list []Visited) []Finding {
	var out []Finding
	add := func(s Severity, about, what, do string) { out = append(out, Finding{s, about, what, do}) }
	answered, seeds := 0, 0
	byID := map[string]bool{}
	var newest []int64
	groups := map[int][]messages.Member{}
	groupMark := map[int]int64{}
	for _, v := range list {
		if v.Condition == nil {
			if v.Seed {
				add(Warning, v.Addr, "a seed does not answer", "start its controller, or name another seed in the settings")
			} else {
				add(Warning, v.Addr, "a node that others know does not answer the doctor", "look whether it runs and whether its inner port is reachable from here")
			}
			continue
		}
		answered++
		if v.Seed {
			seeds++
		}
		c := v.Condition
		byID[c.MemberID] = true
		for p, m := range c.Versions {
			for len(newest) <= p {
				newest = append(newest, 0)
			}
			newest[p] = max(newest[p], m)
			if p < len(c.Groups) && (m > groupMark[p] || groups[p] == nil) {
				groupMark[p], groups[p] = m, c.Groups[p]
			}
		}
	}
	if answered == 0 {
		add(Fault, "all", "no node answers", "check the seeds of the settings and start a controller")
		return out
	}
	if seeds == 0 {
		add(Fault, "seeds", "no seed answers", "a node that starts anew will find nobody; name live controllers as seeds")
	}
	out = append(out, examineGroups(groups, byID)...)
	for _, v := range list {
		if c := v.Condition; c != nil {
			out = append(out, examineNode(v, c, newest)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Severity == Fault && out[j].Severity != Fault })
	return out
}

func examineGroups(groups map[int][]messages.Member, byID map[string]bool) []Finding {
	var out []Finding
	var parts []int
	for p := range groups {
		parts = append(parts, p)
	}
	sort.Ints(parts)
	for _, p := range parts {
		var missing []string
		for _, m := range groups[p] {
			if !byID[m.ID] {
				missing = append(missing, m.ID)
			}
		}
		about := fmt.Sprintf("part %d", p)
		switch n := len(groups[p]); {
		case n == 0:
			out = append(out, Finding{Fault, about, "no group is known", "if this is the first start, set bootstrap and start all seeds"})
		case n-len(missing) <= n/2:
			out = append(out, Finding{Fault, about, fmt.Sprintf("no majority: members %v do not answer", missing), "bring back as many of them, with their disks, as a majority needs"})
		case len(missing) > 0:
			out = append(out, Finding{Warning, about, fmt.Sprintf("members %v do not answer", missing), "bring them back or start a controller on a new machine"})
		}
	}
	return out
}

func examineNode(v Visited, c *messages.Condition, newest []int64) []Finding {
	var out []Finding
	add := func(what, do string) { out = append(out, Finding{Warning, c.Node + " " + string(c.Role), what, do}) }
	for p, m := range c.Versions {
		if m < newest[p] {
			add(fmt.Sprintf("part %d is at %d, others have %d", p, m, newest[p]), "run the doctor again; if it stays, look at this node's links to the controllers")
		}
	}
	if c.Role == messages.Controller {
		if !c.HasDisk && member(c) {
			add("keeps the control state in memory only", "give it a dataDir, or be sure that enough members never stop together")
		}
		if len(c.Unconfirmed) > 0 {
			add(fmt.Sprintf("a repair waits for members %v to say that they hold the state on disk", c.Unconfirmed), "run the doctor again; if it stays, look at their disks and links")
		}
		if c.SaveFault != "" {
			add("its last write failed: "+c.SaveFault, "make room on its disk or replace the disk; the others decide without it meanwhile")
		} else if c.SaveUs > slowSaveUs {
			add(fmt.Sprintf("its last write took %d ms", c.SaveUs/1000), "look at its disk")
		}
		if c.Runners == 0 {
			add("knows no runner", "look whether runners reach its control address")
		}
	}
	if c.Wholes >= manyWholes && c.Wholes*wholesPart > c.Changes {
		add(fmt.Sprintf("falls back to wholes: %d, beside %d changes", c.Wholes, c.Changes), "look at its links and whether it keeps up; changes are lost on the way to it or do not fit")
	}
	if c.Malformed > 0 {
		add(fmt.Sprintf("got %d messages that it could not read", c.Malformed), "see whether its neighbours run another release")
	}
	for _, id := range c.Stale {
		add("runner "+id+" has not beaten for a while", "look whether it runs; it is passed over meanwhile")
	}
	for _, id := range c.Unread {
		add("kept parts of runner "+id+" are not read", "look at its /api/kv-events and at concurrency in the configuration")
	}
	for _, id := range c.Blind {
		add("thresholds of runner "+id+" cannot fire as they should: no report, or memory not known", "look at its /api/report and at cacheTokens in the configuration")
	}
	if apart := c.TimeUs - v.AskedUs - v.TookUs/2; apart > clockApart || apart < -clockApart {
		add(fmt.Sprintf("its time of day is %d ms off from here", apart/1000), "set its clock; nothing is decided by it, but logs mislead")
	}
	return out
}

// Wholes of streams that a node held already are repairs; more than these, and
// more than one beside so many changes, are too many.
const (
	manyWholes = 20
	wholesPart = 50
)

// member tells whether a controller is in a group.
func member(c *messages.Condition) bool {
	for _, g := range c.Groups {
		for _, m := range g {
			if m.ID == c.MemberID {
				return true
			}
		}
	}
	return false
}

// Status is the exit status for findings: 0 none, 1 warnings, 3 faults.
func Status(list []Finding) int {
	status := 0
	for _, f := range list {
		if f.Severity == Fault {
			return 3
		}
		status = 1
	}
	return status
}
