// Package budget bounds the memory that requests take before they are served: heads that are
// being read, parsed heads, and what their connections take. It knows sizes and times, and no
// connections.
package budget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// ConnBytes is what a connection takes without a request: its buffers, the stack of its
	// task and its socket.
	ConnBytes = 16 << 10
	// lineBytes is what a line of a head takes once it is parsed. 160 bytes were measured with
	// distinct names; the request to the upstream has a copy, and there is garbage.
	lineBytes = 400
	// textCopies is the number of copies of a head's text: as read, and as parsed.
	textCopies = 2
	// usualBytes is the cost up to which a head is a usual one. It covers 60 lines.
	usualBytes = 32 << 10
	// unusualQuarters is the part of the budget, in quarters, that heads above usualBytes may
	// use, so that usual ones get the rest.
	unusualQuarters = 3
	quarters        = 4
	// minTotal bounds the budget from below: a head of 16 KiB in lines of four bytes costs
	// 1.7 MB, and must be served by a host that is idle.
	minTotal = 4 << 20
)

// HeadCost returns the estimated memory of a parsed head.
func HeadCost(length, lines int) int64 {
	return int64(length)*textCopies + int64(lines)*lineBytes
}

// Phase is what a connection does.
type Phase uint8

const (
	// PhaseReading means that the head of a request is being read, or awaited.
	PhaseReading Phase = iota
	// PhaseWaiting means that a whole head waits for a part of the budget.
	PhaseWaiting
	// PhaseServing means that a request is served.
	PhaseServing
)

// Budget is shared by all connections of a process.
type Budget struct {
	total    int64
	clock    clockwork.Clock
	mutex    sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	waiters  []*Account
}

// New returns a budget of a size in bytes.
func New(total int64, clock clockwork.Clock) *Budget {
	return &Budget{total: max(total, minTotal), clock: clock, accounts: map[*Account]struct{}{}}
}

// Used returns what is taken, in bytes.
func (budget *Budget) Used() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.used
}

// Total returns the size of the budget.
func (budget *Budget) Total() int64 { return budget.total }

// Account is what one connection takes. It is not for concurrent use, but for Close.
type Account struct {
	budget *Budget
	// giveWay is called, in a task of its own, if another connection takes this one's place.
	giveWay func()
	phase   Phase
	since   time.Time
	// buffered is what a head takes while it is read, and parsed what it takes afterwards.
	buffered, parsed int64
	// wanted is the cost of a head that waits, and decided is closed once it is granted or the
	// account has ended.
	wanted  int64
	decided chan struct{}
	ended   bool
}

// Open returns the account of a new connection, or false if there is no place for it.
func (budget *Budget) Open(giveWay func()) (*Account, bool) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account := &Account{budget: budget, giveWay: giveWay, since: budget.clock.Now()}
	if !budget.makeRoom(ConnBytes, nil) {
		return nil, false
	}
	budget.used += ConnBytes
	budget.accounts[account] = struct{}{}
	return account, true
}

// held is what the account takes of the budget.
func (account *Account) held() int64 { return ConnBytes + account.buffered + account.parsed }

// makeRoom has the most expensive connections that read a head give way until a size fits
// beside what is used, and reports whether it does. The account that asks is never one of them:
// it fails if it is itself the most expensive.
func (budget *Budget) makeRoom(size int64, asking *Account) bool {
	for budget.used+size > budget.total {
		victim := budget.mostExpensive()
		if victim == nil || victim == asking {
			return false
		}
		budget.end(victim)
		go victim.giveWay()
	}
	return true
}

// mostExpensive returns the connection to give way: of those that read or await a head the one
// that takes most, and of equals the one that has done so for the longest time.
func (budget *Budget) mostExpensive() *Account {
	var found *Account
	for account := range budget.accounts {
		if account.phase != PhaseReading {
			continue
		}
		if found == nil || account.held() > found.held() || account.held() == found.held() && account.since.Before(found.since) {
			found = account
		}
	}
	return found
}

// Buffer accounts for the bytes that hold a head while it is read, and reports whether they
// fit.
func (account *Account) Buffer(size int64) bool {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.ended {
		return false
	}
	if more := size - account.buffered; more > 0 && !budget.makeRoom(more, account) {
		return false
	}
	budget.used += size - account.buffered
	account.buffered = size
	budget.grant()
	return true
}

// Admit asks for the cost of a whole head. The channel is nil if it is granted at once.
// Otherwise it is closed when Granted tells the decision; the caller calls Withdraw if it waits
// no longer.
func (account *Account) Admit(cost int64) <-chan struct{} {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !account.ended && budget.fits(cost) { // no cheaper one waits, as it would fit, too
		budget.used += cost
		account.parsed, account.phase = cost, PhaseServing
		return nil
	}
	account.wanted, account.decided = cost, make(chan struct{})
	if account.ended {
		close(account.decided)
		return account.decided
	}
	account.phase, account.since = PhaseWaiting, budget.clock.Now()
	budget.waiters = append(budget.waiters, account)
	return account.decided
}

// fits reports whether the cost of a head fits. One that is unusual gets a smaller part of the
// budget.
func (budget *Budget) fits(cost int64) bool {
	limit := budget.total
	if cost > usualBytes {
		limit = limit / quarters * unusualQuarters
	}
	return budget.used+cost <= limit
}

// grant serves the heads that wait, the cheapest first.
func (budget *Budget) grant() {
	for len(budget.waiters) > 0 {
		cheapest := 0
		for position, waiter := range budget.waiters {
			if waiter.wanted < budget.waiters[cheapest].wanted {
				cheapest = position
			}
		}
		waiter := budget.waiters[cheapest]
		if !budget.fits(waiter.wanted) {
			return
		}
		budget.drop(waiter)
		budget.used += waiter.wanted
		waiter.parsed, waiter.phase = waiter.wanted, PhaseServing
		close(waiter.decided)
	}
}

// drop removes an account from those that wait.
func (budget *Budget) drop(account *Account) {
	for position, waiter := range budget.waiters {
		if waiter == account {
			last := len(budget.waiters) - 1
			budget.waiters[position] = budget.waiters[last]
			budget.waiters[last] = nil
			budget.waiters = budget.waiters[:last]
			return
		}
	}
}

// Granted reports whether the head is paid for.
func (account *Account) Granted() bool {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.phase == PhaseServing && !account.ended
}

// Withdraw ends the wait for the budget, and reports whether the head was granted meanwhile.
func (account *Account) Withdraw() bool {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.phase == PhaseWaiting {
		budget.drop(account)
		account.phase = PhaseReading
		close(account.decided)
	}
	return account.phase == PhaseServing && !account.ended
}

// Served releases what the parsed head took: its answer is written.
func (account *Account) Served() {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.ended || account.phase != PhaseServing {
		return
	}
	budget.used -= account.parsed
	account.parsed, account.phase, account.since = 0, PhaseReading, budget.clock.Now()
	budget.grant()
}

// Close releases all that the account takes. It may be called more than once.
func (account *Account) Close() {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.budget.end(account)
}

func (budget *Budget) end(account *Account) {
	if account.ended {
		return
	}
	account.ended = true
	if account.phase == PhaseWaiting {
		budget.drop(account)
		account.phase = PhaseReading
		close(account.decided)
	}
	delete(budget.accounts, account)
	budget.used -= account.held()
	account.buffered, account.parsed = 0, 0
	budget.grant()
}
