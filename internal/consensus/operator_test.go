package consensus

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	operatorSeeds = flag.Uint64("operator-seeds", 200, "how many histories of operators to play")
	operatorFirst = flag.Uint64("operator-first", 0, "the first seed of them")
)

// checkLimit bounds the search for an order of the calls.
const checkLimit = 30 * time.Second

const (
	steps        = 4000
	releaseEvery = 350
)

// play runs a history: trouble first, and then every operator is answered.
func (o *office) play() {
	for step := range steps {
		if step%releaseEvery == releaseEvery-1 {
			o.release()
		}
		switch k := o.rnd.IntN(600); {
		case k < 12:
			o.act(o.rnd.IntN(operators))
		case k < 18:
			o.tire()
		case k < 20:
			if m := o.anyUp(); m != nil {
				o.hist.Note("%s crashes", m.addr)
				o.crash(m)
			}
		case k < 26:
			for _, m := range o.members {
				m.up = true
			}
		case k < 29:
			o.regroup()
		case k < 32:
			o.loseDisk()
		case len(o.wires) > 0:
			o.carry()
		}
	}
	o.settle()
}

// settle ends the trouble. Every order without an answer is sent again, and at
// last the configuration and the weights are read.
func (o *office) settle() {
	o.calm = true
	for _, m := range o.members {
		m.up = true
	}
	o.drain()
	for i := range o.clients {
		if at := o.anyUp(); at != nil && o.clients[i].wants {
			o.replace(i, at, o.clients[i].order)
			o.drain()
		}
	}
	for _, part := range []int{ConfigPart, weightsPart} {
		if at := o.anyUp(); at != nil {
			o.read(0, at, part)
			o.drain()
		}
	}
}

// drain carries letters until no call is left; one that makes no way is given up.
func (o *office) drain() {
	for range 4000 {
		switch {
		case len(o.wires) > 0:
			o.carry()
		case len(o.pending) > 0:
			o.tire()
		default:
			return
		}
	}
	o.pending, o.wires = nil, nil
}

// Eight operators at once, repeats at any node, two nodes on one order, lost
// answers, crashes, lost disks, changes of group, and versions of the
// program with stricter and laxer checks in turn: the answers are those of one register.
func TestOperatorsSeeOneRegister(t *testing.T) {
	taken := 0
	for seed := *operatorFirst; seed < *operatorFirst+*operatorSeeds; seed++ {
		taken += playOffice(t, seed)
	}
	must.Greater(t, 3*int(*operatorSeeds), taken, must.Sprint("the histories must get somewhere"))
}

// tellingSeeds miss a mechanism that few histories miss: 380 the seal.
var tellingSeeds = []uint64{380}

func TestTellingSeedsSeeOneRegister(t *testing.T) {
	for _, seed := range tellingSeeds {
		playOffice(t, seed)
	}
}

// playOffice plays and judges one history, and returns how many orders were taken.
func playOffice(t *testing.T, seed uint64) int {
	t.Helper()
	o := newOffice(seed)
	o.play()
	if err := o.hist.Check(checkLimit); err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, o.hist.String())
	}
	return o.finals
}
