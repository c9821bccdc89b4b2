// Package memorybudget bounds how much memory a process uses for bytes from outside that it has to keep,
// such as responses that are forwarded once they are complete.
//
// A Budget is shared by many Accounts, one for each message. An account may grow as long as it does not hold
// more than is left in the budget. This is the dynamic threshold of Choudhury and Hahne for shared buffers
// (IEEE/ACM Transactions on Networking, 1998): a single message may use half of the budget, and however
// many messages grow without end, a share is left for small ones.
package memorybudget

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrExhausted means that an account may not grow, as it holds more than is left in the budget.
var ErrExhausted = errors.New("memorybudget: the message is too large for the memory that is left")

// Budget is the memory that accounts share. It is safe for concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
}

const (
	bytesPerMB = 1 << 20
	// defaultMemoryMB is assumed where the memory of a process is not known, in MB.
	defaultMemoryMB = 512

	// The parts of a process's memory for responses of runners, stores and the platform, and for requests
	// of clients, of runners and of the operator: an eighth and a quarter.
	responsePart = 8
	requestPart  = 4
)

// ForResponses returns the Budget for the responses that a process receives. memoryMB is what the process
// may use; 0 if that is not known.
func ForResponses(memoryMB int) *Budget { return New(processBytes(memoryMB) / responsePart) }

// ForRequests returns the Budget for the requests that a process receives.
func ForRequests(memoryMB int) *Budget { return New(processBytes(memoryMB) / requestPart) }

func processBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB) * bytesPerMB
}

// New returns a Budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that all accounts hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often an account could not grow.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// reserve adds bytes to an account that holds some already, unless it would hold more than is left then.
func (b *Budget) reserve(held, bytes int64) bool {
	for {
		used := b.used.Load()
		if held+bytes > b.limit-used-bytes {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Account is the memory of one message. It belongs to one goroutine at a time. The zero Account belongs to
// no budget and has no limit.
type Account struct {
	budget *Budget
	held   int64
}

// Open returns an account that holds nothing. A nil Budget has no limit.
func (b *Budget) Open() Account { return Account{budget: b} }

// Grow adds bytes to the account, or returns ErrExhausted.
func (a *Account) Grow(bytes int) error {
	if a.budget != nil && !a.budget.reserve(a.held, int64(bytes)) {
		return ErrExhausted
	}
	a.held += int64(bytes)
	return nil
}

// Release returns all that the account holds to the budget.
func (a *Account) Release() {
	if a.budget != nil {
		a.budget.used.Add(-a.held)
	}
	a.held = 0
}
