package memorybudget

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

func TestSingleAccountGrowsToHalfOfBudget(t *testing.T) {
	b := New(100)
	a := b.Open()
	must.NoError(t, a.Grow(50))
	must.ErrorIs(t, a.Grow(1), ErrExhausted)
	must.Eq(t, 50, b.Used())
	must.Eq(t, 1, b.Refused())
	a.Release()
	must.Eq(t, 0, b.Used())
}

// grow grows an account by single bytes until it is refused, and returns the number of bytes.
func grow(a *Account) (bytes int) {
	for a.Grow(1) == nil {
		bytes++
	}
	return bytes
}

func TestSmallMessageFitsBesideEndlessOnes(t *testing.T) {
	const budget, endless = 10_000, 9
	b := New(budget)
	accounts := make([]Account, endless)
	for i := range accounts {
		accounts[i] = b.Open()
		must.Positive(t, grow(&accounts[i]))
	}
	small := b.Open()
	must.NoError(t, small.Grow(5))
	must.LessEq(t, budget, b.Used())
}

func TestConcurrentAccountsStayWithinBudget(t *testing.T) {
	const budget = 1 << 20
	b := New(budget)
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 0))
			for range 200 {
				a := b.Open()
				for a.Grow(random.IntN(1<<12)) == nil {
					if used := b.Used(); used > budget {
						t.Errorf("%d of %d bytes are used", used, budget)
					}
				}
				a.Release()
			}
		})
	}
	group.Wait()
	must.Eq(t, 0, b.Used())
}

func TestAccountWithoutBudgetHasNoLimit(t *testing.T) {
	var none *Budget
	a := none.Open()
	must.NoError(t, a.Grow(1<<40))
	a.Release()
}
