package admit

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	jobs = "jobs"
	work = 100 * time.Millisecond
	goal = 400 * time.Millisecond
	last = 1200 * time.Millisecond
)

// running is a request that an upstream works on.
type running struct {
	ticket *Ticket
	arrival
	ends   time.Time
	result Result
}

// arrival is a request of a pattern of load.
type arrival struct {
	at       time.Time
	priority int
}

// tally counts how requests ended.
type tally struct {
	inTime, late, refused, heldLong int
	// refusedEarly counts refusals that came within a quarter of the goal.
	refusedEarly int
}

// model runs a board against four upstreams with two slots each.
type model struct {
	clock   *clockwork.FakeClock
	board   *Board
	service time.Duration
	waiting []pending
	running []running
	tallies map[int]*tally
	// result says how an upstream treats a request, where not all serve it alike.
	result func(ticket *Ticket) (Result, time.Duration)
}

type pending struct {
	arrival
	waiting *Waiting
}

func newModel() *model {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	model := &model{
		clock: clock, board: NewExact(clock, 1), service: work, tallies: map[int]*tally{},
	}
	model.board.Update(jobs, targets(4), spans.Table{})
	return model
}

func targets(count int) []Target {
	var targets []Target
	for number := range count {
		targets = append(targets, Target{
			Owner: spans.Owner{ID: fmt.Sprint("up-", number), Born: 1}, Service: jobs, Slots: 2, DataCentre: "here",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80),
		})
	}
	return targets
}

func (model *model) tally(priority int) *tally {
	if model.tallies[priority] == nil {
		model.tallies[priority] = &tally{}
	}
	return model.tallies[priority]
}

// arrive sends a request to the board.
func (model *model) arrive(priority int) {
	now := model.clock.Now()
	arrival := arrival{at: now, priority: priority}
	waiting, refusal := model.board.Enqueue(Ask{
		Service: jobs, Priority: priority, Goal: now.Add(goal), Deadline: now.Add(last),
	})
	if refusal != nil {
		model.refuse(arrival, refusal)
		return
	}
	model.waiting = append(model.waiting, pending{arrival: arrival, waiting: waiting})
}

func (model *model) refuse(arrival arrival, refusal *Refusal) {
	tally := model.tally(arrival.priority)
	tally.refused++
	held := model.clock.Now().Sub(arrival.at)
	if held <= goal/4 {
		tally.refusedEarly++
	}
	if held > last*3/4 {
		tally.heldLong++
	}
	if refusal.RetryAfter <= 0 {
		panic("a refusal names no time to come back")
	}
}

// step lets a millisecond pass.
func (model *model) step() {
	model.clock.Advance(time.Millisecond)
	now := model.clock.Now()
	model.running = slices.DeleteFunc(model.running, func(running running) bool {
		if now.Before(running.ends) {
			return false
		}
		running.ticket.Done(running.result, nil)
		if now.Sub(running.at) <= goal {
			model.tally(running.priority).inTime++
		} else {
			model.tally(running.priority).late++
		}
		return true
	})
	model.waiting = slices.DeleteFunc(model.waiting, func(pending pending) bool {
		ticket, refusal := pending.waiting.Decided()
		if refusal != nil {
			model.refuse(pending.arrival, refusal)
		}
		if ticket != nil {
			result, takes := ResultAnswered, model.service
			if model.result != nil {
				result, takes = model.result(ticket)
			}
			model.running = append(model.running, running{ticket: ticket, arrival: pending.arrival, ends: now.Add(takes), result: result})
		}
		return ticket != nil || refusal != nil
	})
}

// play sends a pattern: how many requests of each priority arrive in each
// millisecond.
func (model *model) play(duration time.Duration, arrivals func(millisecond int) map[int]int) {
	for millisecond := range int(duration / time.Millisecond) {
		wanted := arrivals(millisecond)
		for priority := range 3 {
			for range wanted[priority] {
				model.arrive(priority)
			}
		}
		model.step()
	}
	for range int(2 * last / time.Millisecond) {
		model.step()
	}
}

// every returns a pattern of one request of the priority in each interval.
func every(interval, priority int) func(int) map[int]int {
	return func(millisecond int) map[int]int {
		if millisecond%interval == 0 {
			return map[int]int{priority: 1}
		}
		return nil
	}
}

// TestBurstOverCapacity sends twice of what 4 upstreams of 2 slots bear: 80
// requests a second. What is served is served in time, and what is not is refused
// early.
func TestBurstOverCapacity(t *testing.T) {
	is := is.New(t)
	model := newModel()
	model.play(10*time.Second, func(millisecond int) map[int]int {
		if millisecond%25 == 0 {
			return map[int]int{1: 4}
		}
		return nil
	})
	tally := model.tally(1)
	is.True(tally.inTime >= 720) // nine tenths of the capacity of 10 s
	is.True(tally.late <= tally.inTime/10)
	is.Equal(tally.heldLong, 0)
	is.True(tally.refusedEarly >= tally.refused*3/4)
}

// TestUrgentFirst floods with less urgent requests; the urgent ones, which alone
// would fit, are all served in time.
func TestUrgentFirst(t *testing.T) {
	is := is.New(t)
	model := newModel()
	model.play(10*time.Second, func(millisecond int) map[int]int {
		wanted := map[int]int{}
		if millisecond%25 == 0 {
			wanted[0] = 1 // 40 a second, half of the capacity
		}
		if millisecond%10 == 0 {
			wanted[2] = 2
		}
		return wanted
	})
	urgent, other := model.tally(0), model.tally(2)
	is.Equal(urgent.refused, 0)
	is.True(urgent.inTime >= 399)
	is.True(other.inTime+other.late >= 300) // the rest of the capacity is used
}

// TestNoRefusalBelowCapacity sends nine tenths of the capacity evenly.
func TestNoRefusalBelowCapacity(t *testing.T) {
	is := is.New(t)
	model := newModel()
	model.play(10*time.Second, every(14, 1))
	tally := model.tally(1)
	is.Equal(tally.refused, 0)
	is.Equal(tally.late, 0)
}

// TestShortBurstIsServed sends 40 requests at once to a calm service. They fit
// between goal and deadline, so they are served rather than refused.
func TestShortBurstIsServed(t *testing.T) {
	is := is.New(t)
	model := newModel()
	model.play(time.Second, func(millisecond int) map[int]int {
		if millisecond == 0 {
			return map[int]int{1: 40}
		}
		return nil
	})
	tally := model.tally(1)
	is.Equal(tally.refused, 0)
	is.Equal(tally.inTime+tally.late, 40)
}

func ask(clock clockwork.Clock) Ask {
	return Ask{Service: jobs, Goal: clock.Now().Add(goal), Deadline: clock.Now().Add(last)}
}

// TestColdLimit lets a cold upstream have no more than it bears.
func TestColdLimit(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	board := NewExact(clock, 1)
	cold := targets(1)
	cold[0].Cold, cold[0].ColdPerSecond = true, 4
	board.Update(jobs, cold, spans.Table{})
	given := 0
	for range 3000 {
		clock.Advance(time.Millisecond)
		waiting, refusal := board.Enqueue(ask(clock))
		if refusal != nil {
			continue
		}
		if ticket, _ := waiting.Decided(); ticket != nil {
			given++
			ticket.Done(ResultAnswered, nil)
			continue
		}
		waiting.Withdraw()
	}
	is.True(given <= 12) // 4 a second for 3 s
	is.True(given >= 10)
}

// TestWarmBeforeCold sends to a cold upstream only while no warm one is there.
func TestWarmBeforeCold(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	board := NewExact(clock, 1)
	both := targets(2)
	both[0].Cold, both[0].ColdPerSecond = true, 100
	board.Update(jobs, both, spans.Table{})
	clock.Advance(time.Second)
	for range 2 {
		waiting, refusal := board.Enqueue(ask(clock))
		is.Equal(refusal, nil)
		ticket, _ := waiting.Decided()
		is.Equal(ticket.Target.Owner, both[1].Owner)
	}
}

// TestMovedKeyWaitsForItsOwner moves keys: requests wait until the new owner
// learns of them, and go to it then.
func TestMovedKeyWaitsForItsOwner(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	board := NewBoard("here", clock, 1)
	both := targets(2)
	table, err := spans.Table{}.Apply(1, []spans.Change{{From: 0, To: spans.MaxKey, Owner: both[0].Owner}})
	is.NoErr(err)
	board.Update(jobs, both, table)
	keyed := ask(clock)
	keyed.Keyed, keyed.Key = true, 7
	target, _, refusal := board.Owner(context.Background(), keyed)
	is.Equal(refusal, nil)
	is.Equal(target.Owner, both[0].Owner)
	table, err = table.Apply(2, []spans.Change{{From: 0, To: 9, Owner: both[1].Owner, Settle: 300 * time.Millisecond}})
	is.NoErr(err)
	board.Update(jobs, both, table)
	waiting, refusal := board.Enqueue(keyed)
	is.Equal(refusal, nil)
	ticket, _ := waiting.Decided()
	is.Equal(ticket, nil) // the new owner does not know of its keys yet
	clock.Advance(301 * time.Millisecond)
	board.Update(jobs, both, table)
	ticket, _ = waiting.Decided()
	is.Equal(ticket.Target.Owner, both[1].Owner)
	ticket.Done(ResultMisplaced, nil)
	waiting, refusal = board.Enqueue(keyed)
	is.Equal(refusal, nil)
	ticket, _ = waiting.Decided()
	is.Equal(ticket, nil) // the owner has just refused the key
}

// TestShedWhileHealthy refuses half of the requests at one of two upstreams that
// says it is fine; the other one gets most.
func TestShedWhileHealthy(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	board := NewExact(clock, 1)
	both := targets(2)
	board.Update(jobs, both, spans.Table{})
	shed, served := 0, 0
	for number := range 1000 {
		clock.Advance(10 * time.Millisecond)
		waiting, refusal := board.Enqueue(ask(clock))
		is.Equal(refusal, nil)
		ticket, _ := waiting.Decided()
		is.True(ticket != nil)
		if ticket.Target.Owner == both[0].Owner && number%2 == 0 {
			shed++
			ticket.Done(ResultShed, &Load{Slots: 2, Pace: 100})
			continue
		}
		served++
		ticket.Done(ResultAnswered, &Load{Slots: 2, Pace: 100})
	}
	is.True(shed < 150) // an even division would shed 250
}

// TestSlowMachinesShowTheirWork loads upstreams whose machines are always faster
// or slower than usual, and say so: the reported work, by which keys are placed,
// is what a request takes there, without what it waits for a slot.
func TestSlowMachinesShowTheirWork(t *testing.T) {
	for _, test := range []struct {
		name string
		pace int
	}{
		{"fast", 60}, {"usual", 100}, {"slow", 140},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			board := NewExact(clock, 1)
			targets := targets(1)
			targets[0].Keyed = true
			owner := targets[0].Owner
			board.Update(jobs, targets, spans.Table{Version: 1, Spans: []spans.Span{{From: 0, To: spans.MaxKey, Owner: owner, Fence: 1}}})
			ask := func() *Ticket {
				now := clock.Now()
				waiting, refusal := board.Enqueue(Ask{Service: jobs, Keyed: true, Key: 7, Goal: now.Add(goal), Deadline: now.Add(last)})
				is.True(refusal == nil)
				ticket, _ := waiting.Decided()
				is.True(ticket != nil)
				return ticket
			}
			takes := work * time.Duration(test.pace) / usualPace
			// Two slots and one request behind them: each slot is taken again at once.
			running := []*Ticket{ask(), ask(), ask()}
			for range 20 {
				clock.Advance(takes)
				for _, ticket := range running[:2] {
					ticket.Done(ResultAnswered, &Load{Running: 2, Slots: 2, Pace: test.pace})
				}
				running = append(running[2:], ask(), ask())
			}
			done := board.Work()[owner.ID]
			is.Equal(done.Count, 40)
			is.Equal((done.Total / time.Duration(done.Count)).Round(5*time.Millisecond), takes)
		})
	}
}

// TestFastFailuresAttractNothing lets one of four upstreams fail all requests at
// once, which looks fast: it gets few, and gets them again once it serves.
func TestFastFailuresAttractNothing(t *testing.T) {
	is := is.New(t)
	model := newModel()
	failing := targets(1)[0].Owner
	sent, mends := 0, false
	model.result = func(ticket *Ticket) (Result, time.Duration) {
		if ticket.Target.Owner != failing {
			return ResultAnswered, work
		}
		sent++
		if mends {
			return ResultAnswered, work
		}
		return ResultErred, 5 * time.Millisecond
	}
	load := func(seconds, perSecond int) {
		sent = 0
		for step := range seconds * 1000 {
			if step%(1000/perSecond) == 0 {
				model.arrive(1)
			}
			model.step()
		}
	}
	for range 8 {
		model.arrive(1) // each upstream is tried
	}
	load(4, 55)
	is.True(sent < 4*55/8) // even parts are a quarter
	mends = true
	load(8, 70)             // more than the other three bear
	is.True(sent > 8*70/20) // even parts are a quarter
}

// TestRepeatsStayWithinTheBudget counts repeats against requests: the users allow
// a fifth of the requests, and some, over all hosts.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	board := NewBoard("here", clockwork.NewFakeClockAt(time.Unix(1000, 0)), 1)
	repeats := 0
	for range 1000 {
		board.Count(jobs)
		for board.MayRepeat(jobs) {
			repeats++
		}
	}
	is.True(repeats <= 200)
	is.True(repeats >= 150)
}
