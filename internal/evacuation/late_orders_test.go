package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
)

// Times of the history, in milliseconds.
const (
	patienceMs  = 1000 // after which the operator gives a call up
	maxHeldUpMs = 20_000
	historyMs   = 200_000
)

// lateHistory is a history of one operator that orders the evacuation of a zone and its return, at
// controllers that share one register. Calls and answers may be held up for long; calls that the operator
// has given up are carried out all the same.
type lateHistory struct {
	random       *rand.Rand
	apply        func(list []messages.Evacuation, order Order) ([]messages.Evacuation, error)
	nowMs        int
	events       map[int][]func()
	register     []messages.Evacuation
	ordered      Order // the current or the last order
	acknowledged bool  // the current order is acknowledged
	last         bool  // what the last acknowledged order said
	mayDiffer    bool  // the opposite was ordered since
	attempt      int   // answers to earlier attempts are ignored
	orders       int
	failure      string
}

// playLateHistory plays a history and returns its first failure, empty if there was none.
func playLateHistory(seed uint64, apply func([]messages.Evacuation, Order) ([]messages.Evacuation, error)) (failure string, orders int) {
	h := &lateHistory{random: rand.New(rand.NewPCG(seed, 0)), apply: apply, events: map[int][]func(){}, acknowledged: true}
	h.nextOrder()
	for ; h.nowMs < historyMs && h.failure == ""; h.nowMs++ {
		for len(h.events[h.nowMs]) > 0 {
			event := h.events[h.nowMs][0]
			h.events[h.nowMs] = h.events[h.nowMs][1:]
			event()
		}
		delete(h.events, h.nowMs)
	}
	return h.failure, h.orders
}

func (h *lateHistory) after(ms int, event func()) {
	h.events[h.nowMs+ms] = append(h.events[h.nowMs+ms], event)
}

// delay returns how long a message takes: a tenth of them are held up.
func (h *lateHistory) delay() int {
	if h.random.IntN(10) == 0 {
		return 1 + h.random.IntN(maxHeldUpMs)
	}
	return 1 + h.random.IntN(20)
}

func (h *lateHistory) nextOrder() {
	h.ordered = Order{Zone: "a", Evacuated: h.random.IntN(2) == 0, After: precondition.Unconfirmed}
	h.acknowledged = false
	h.mayDiffer = h.mayDiffer || h.ordered.Evacuated != h.last
	h.orders++
	h.call(h.ordered)
}

// call sends an order, and sends it again elsewhere if no answer comes in time.
func (h *lateHistory) call(order Order) {
	h.attempt++
	attempt := h.attempt
	h.after(h.delay(), func() { h.serve(order, attempt) })
	h.after(patienceMs, func() {
		switch {
		case h.attempt != attempt || h.acknowledged:
		case h.random.IntN(4) == 0: // the operator changes its mind
			h.nextOrder()
		default:
			h.call(h.ordered)
		}
	})
}

// serve carries out a call at a controller and sends the answer.
func (h *lateHistory) serve(order Order, attempt int) {
	next, err := h.apply(h.register, order)
	if err == nil {
		h.register = next
		h.check()
	}
	h.after(h.delay(), func() {
		if h.attempt == attempt && !h.acknowledged {
			h.receive(order, err)
		}
	})
}

// receive handles the answer to the current attempt.
func (h *lateHistory) receive(order Order, err error) {
	var required *precondition.RequiredError
	switch {
	case errors.As(err, &required):
		order.After = required.Newest
		h.call(order)
	case err != nil:
		h.call(h.ordered)
	default:
		h.acknowledged, h.last, h.mayDiffer = true, h.ordered.Evacuated, false
		h.after(1+h.random.IntN(2*patienceMs), h.nextOrder)
	}
}

// check requires that the zone is as the last acknowledged order says, unless the opposite was ordered
// since.
func (h *lateHistory) check() {
	state := h.register[0].Evacuated
	if state != h.last && !h.mayDiffer {
		h.failure = fmt.Sprintf("at %d ms the zone is evacuated: %v, the last acknowledged order says %v", h.nowMs, state, h.last)
	}
}

func TestLateOrdersNeverRevertAcknowledgedOne(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		failure, orders := playLateHistory(seed, Apply)
		must.Eq(t, "", failure, must.Sprint("seed ", seed))
		total += orders
	}
	must.Greater(t, 10_000, total)
}

// The histories find orders that are carried out however late they come, and repeats that take no number.
func TestLateHistoriesDetectDefects(t *testing.T) {
	always := func(list []messages.Evacuation, order Order) ([]messages.Evacuation, error) {
		if len(list) > 0 {
			order.After = list[0].Changes
		}
		return Apply(list, order)
	}
	unnumbered := func(list []messages.Evacuation, order Order) ([]messages.Evacuation, error) {
		if len(list) > 0 && list[0].Evacuated == order.Evacuated {
			return list, nil
		}
		return Apply(list, order)
	}
	for name, defect := range map[string]func([]messages.Evacuation, Order) ([]messages.Evacuation, error){"always": always, "unnumbered repeats": unnumbered} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			failure, _ := playLateHistory(seed, defect)
			found = failure != ""
		}
		must.True(t, found, must.Sprint(name))
	}
}
