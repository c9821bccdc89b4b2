// Trail is the audit trail of regulated requests: a bounded ring of what was
// asked, sent, answered and rejected, each with the runner, its certificate and
// the version of the configuration that was in force at the node.
package compliance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"beechtide.org/beechtide/internal/api"
)

// Step is what happened to a request.
type Step string

// Steps.
const (
	Asked    Step = "asked"
	Sent     Step = "sent"
	Answered Step = "answered"
	Rejected Step = "denied"
	Cut      Step = "cut"
)

// Entry is one line of a trail.
type Entry struct {
	Seq         int64  `json:"seq"`
	Node        string `json:"node"`
	Step        Step   `json:"step"`
	Attempt     string `json:"attempt"`
	Tenant      string `json:"tenant"`
	Regime      string `json:"regime"`
	Runner      string `json:"runner,omitempty"`
	Service     string `json:"service,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Certificate int    `json:"certificate"`
	Version     int64  `json:"version"`
}

// trailSize bounds what a node remembers.
const trailSize = 4096

// Trail is safe for concurrent use. The zero Trail is ready.
type Trail struct {
	mu   sync.Mutex
	ring []Entry
	seq  int64
}

// Note adds an entry; the oldest gives way.
func (t *Trail) Note(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	e.Seq = t.seq
	if len(t.ring) < trailSize {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[int((t.seq-1)%trailSize)] = e
}

// Write writes the entries as JSON lines, oldest first.
func (t *Trail) Write(w io.Writer) error {
	t.mu.Lock()
	list := append([]Entry{}, t.ring...)
	start := 0
	if len(list) == trailSize {
		start = int(t.seq % trailSize)
	}
	t.mu.Unlock()
	enc := json.NewEncoder(w)
	for i := range list {
		if err := enc.Encode(list[(start+i)%len(list)]); err != nil {
			return err
		}
	}
	return nil
}

// ReadTrail reads JSON lines.
func ReadTrail(r io.Reader) ([]Entry, error) {
	var out []Entry
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		if len(sc.Bytes()) == 0 {
			continue
		}
		var e Entry
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out = append(out, e)
	}
	return out, sc.Err()
}

// Violation is something a trail should not hold.
type Violation struct {
	Entry  Entry
	Reason string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s seq %d attempt %s runner %s: %s", v.Entry.Node, v.Entry.Seq, v.Entry.Attempt, v.Entry.Runner, v.Reason)
}

// CheckTrail names each violation: a regulated request sent to a runner that
// the configuration in force did not let in, one answered twice, one whose end
// is missing. Configurations are matched by their version; an entry of a version
// that is not given can't be vouched for and is named as well.
func CheckTrail(list []Entry, menus []api.Configuration) []Violation {
	var out []Violation
	rules := map[int64]*Policies{}
	regimeOf := map[int64]map[string]string{}
	for _, m := range menus {
		if p, err := Compile(m); err == nil {
			rules[m.Version] = p
			regimeOf[m.Version] = map[string]string{}
			for _, t := range m.Tenants {
				regimeOf[m.Version][t.Name] = t.Regime
			}
		}
	}
	ended := map[string]Step{}
	asked := map[string]Entry{}
	var order []string
	for _, e := range list {
		switch e.Step {
		case Asked:
			if _, ok := asked[e.Attempt]; !ok {
				order = append(order, e.Attempt)
			}
			asked[e.Attempt] = e
		case Sent:
			if why := checkSent(e, rules[e.Version], regimeOf[e.Version]); why != "" {
				out = append(out, Violation{e, why})
			}
			if was, ok := ended[e.Attempt]; ok && was == Answered {
				out = append(out, Violation{e, "sent after it was answered"})
			}
		case Answered, Rejected, Cut:
			if was, ok := ended[e.Attempt]; ok {
				out = append(out, Violation{e, fmt.Sprintf("ended twice: %s and %s", was, e.Step)})
			}
			ended[e.Attempt] = e.Step
		default:
			out = append(out, Violation{e, fmt.Sprintf("unknown step %q", e.Step)})
		}
	}
	for _, id := range order {
		if _, ok := ended[id]; !ok {
			out = append(out, Violation{asked[id], "its end is missing"})
		}
	}
	return out
}

func checkSent(e Entry, p *Policies, regimeOf map[string]string) string {
	if p == nil {
		return fmt.Sprintf("configuration %d is not at hand", e.Version)
	}
	want := regimeOf[e.Tenant]
	if want != e.Regime {
		return fmt.Sprintf("tenant %s has regime %q in version %d, not %q", e.Tenant, want, e.Version, e.Regime)
	}
	if want == "" {
		return ""
	}
	cert, ok := p.Allows(want, Runner{ID: e.Runner, Service: e.Service, Zone: e.Zone})
	if !ok {
		return fmt.Sprintf("not certified for %s in version %d", want, e.Version)
	}
	if cert != e.Certificate {
		return fmt.Sprintf("names certificate %d, version %d has %d", e.Certificate, e.Version, cert)
	}
	return ""
}
