package admit

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// nameLimit lets an upstream name a rate limit in the answer to a request sent now.
func nameLimit(clock *clockwork.FakeClock, scheduler *Scheduler, target Target, perSecond float64) {
	sent := clock.Now()
	clock.Advance(time.Millisecond)
	scheduler.RecordLimit(serviceName, target.Owner, perSecond, sent)
}

// TestOverloadOfLimitedUpstreams plays three times the load that all upstreams take by
// their own word. Urgent requests are served, the others refused at once, and no upstream
// gets more than its limit.
func TestOverloadOfLimitedUpstreams(t *testing.T) {
	is := is.New(t)
	const perSecond, seconds = 5.0, 20
	model := newModel()
	sends := map[spans.Owner]int{}
	model.result = func(ticket *Ticket) (Result, time.Duration) {
		sends[ticket.Target.Owner]++
		ticket.RecordLimit(perSecond)
		return ResultAnswered, serviceTime
	}
	for _, target := range targets(4) {
		nameLimit(model.clock, model.scheduler, target, perSecond)
	}
	for number := range seconds * 1000 {
		switch {
		case number%70 == 0: // 14 a second of 20 that all take
			model.arrive(0)
		case number%22 == 0: // 45 a second
			model.arrive(1)
		}
		model.step()
	}
	urgent, other := model.tally(0), model.tally(1)
	t.Logf("urgent %+v, other %+v, sends %v", *urgent, *other, sends)
	for _, target := range targets(4) {
		is.True(float64(sends[target.Owner]) <= perSecond*seconds+limitBurst)
		is.True(float64(sends[target.Owner]) >= perSecond*seconds*9/10)
	}
	is.True(urgent.refused*20 <= urgent.inTime+urgent.late)
	is.Equal(other.refusedLate, 0)
}

// TestLoadMovesToUnlimitedUpstreams limits some of the upstreams of a service without
// keys. The others have room for all requests, so that none is refused.
func TestLoadMovesToUnlimitedUpstreams(t *testing.T) {
	is := is.New(t)
	model := newModel()
	limited := targets(2)
	sends := map[spans.Owner]int{}
	model.result = func(ticket *Ticket) (Result, time.Duration) {
		sends[ticket.Target.Owner]++
		if slices.ContainsFunc(limited, func(target Target) bool { return target.Owner == ticket.Target.Owner }) {
			ticket.RecordLimit(1)
		}
		return ResultAnswered, serviceTime
	}
	for _, target := range limited {
		nameLimit(model.clock, model.scheduler, target, 1)
	}
	for number := range 10000 {
		if number%33 == 0 { // 30 a second of 40 that two upstreams can serve
			model.arrive(0)
		}
		model.step()
	}
	for _, target := range limited {
		is.True(sends[target.Owner] <= 10+limitBurst)
	}
	is.Equal(model.tally(0).refused, 0)
}

// TestLimitRaisedLoweredAndEnded lets an upstream raise, lower and drop its limit.
func TestLimitRaisedLoweredAndEnded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewExclusiveScheduler(clock, 1)
	scheduler.Update(serviceName, targets(1), spans.Table{})
	cases := []struct {
		name        string
		limit       float64
		least, most int
	}{
		{"no limit", 0, 4000, 4000},
		{"begins", 5, 18, 20 + limitBurst},
		{"raised", 20, 76, 80 + limitBurst},
		{"lowered", 2, 7, 8 + limitBurst},
		{"dropped", 0, 3999, 4000},
		{"begins again", 5, 18, 20 + limitBurst},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			nameLimit(clock, scheduler, targets(1)[0], testcase.limit)
			granted := 0
			for range 4000 {
				clock.Advance(time.Millisecond)
				queuedjob, refusal := scheduler.Enqueue(newJob(clock))
				if refusal != nil {
					continue
				}
				ticket, _ := queuedjob.Poll()
				if ticket == nil {
					queuedjob.Cancel()
					continue
				}
				granted++
				ticket.RecordLimit(testcase.limit)
				ticket.Release(ResultAnswered, nil)
			}
			t.Logf("%d granted in 4 s", granted)
			is.True(granted >= testcase.least)
			is.True(granted <= testcase.most)
		})
	}
}

// TestOvertakenAnswerKeepsLimit guards against an answer that was sent before a limit was
// named, arrives after it, and ends it.
func TestOvertakenAnswerKeepsLimit(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewExclusiveScheduler(clock, 1)
	target := targets(1)[0]
	scheduler.Update(serviceName, []Target{target}, spans.Table{})
	before := clock.Now()
	nameLimit(clock, scheduler, target, 2)
	is.True(!scheduler.RecordLimit(serviceName, target.Owner, 0, before))
	perSecond, _ := scheduler.Limit(serviceName, target.Owner)
	is.Equal(perSecond, 2.0)
	clock.Advance(time.Second)
	is.True(scheduler.RecordLimit(serviceName, target.Owner, 0, clock.Now()))
	// A host that heard of the limit long ago brings it up again.
	scheduler.AdoptLimit(serviceName, target.Owner, 2, before)
	perSecond, _ = scheduler.Limit(serviceName, target.Owner)
	is.Equal(perSecond, 0.0)
}

// TestHostsThatStandInAdmitLittle checks which part of a limit a scheduler admits that
// others ask instead of the primary, and that a host's own scheduler admits nothing: the
// parts of all hosts add up.
func TestHostsThatStandInAdmitLittle(t *testing.T) {
	cases := []struct {
		name      string
		exclusive bool
		share     func(Target) float64
		most      int
		reason    Reason
	}{
		{"primary", true, func(Target) float64 { return 1 }, 80 + limitBurst, ReasonLimited},
		{"next host", true, func(Target) float64 { return 0.25 }, 20 + standInBurst, ReasonLimited},
		{"last host", true, func(Target) float64 { return 0 }, 0, ReasonNoPrimary},
		{"own scheduler of a host", false, nil, 0, ReasonNoPrimary},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			scheduler := NewScheduler("here", clock, 1)
			if testcase.exclusive {
				scheduler = NewExclusiveScheduler(clock, 1)
			}
			scheduler.LimitShare = testcase.share
			scheduler.Update(serviceName, targets(1), spans.Table{})
			nameLimit(clock, scheduler, targets(1)[0], 20)
			granted, refused := 0, 0
			for range 4000 {
				clock.Advance(time.Millisecond)
				job := newJob(clock)
				job.Deadline = clock.Now().Add(serviceTime)
				queuedjob, refusal := scheduler.Enqueue(job)
				if refusal != nil {
					refused++
					is.Equal(refusal.Reason, testcase.reason)
					continue
				}
				ticket, _ := queuedjob.Poll()
				if ticket == nil {
					queuedjob.Cancel()
					continue
				}
				granted++
				ticket.Release(ResultAnswered, nil)
			}
			is.True(refused > 0)
			is.True(granted <= testcase.most)
			is.True(granted >= testcase.most*8/10)
		})
	}
}

// TestRefusedCallersReturnInTurn guards against callers of a limited upstream that are all
// told to come back at the same moment.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewExclusiveScheduler(clock, 1)
	scheduler.Update(serviceName, targets(1), spans.Table{})
	nameLimit(clock, scheduler, targets(1)[0], 4)
	var previous time.Duration
	for range 6 {
		job := newJob(clock)
		job.Deadline = clock.Now().Add(serviceTime)
		_, refusal := scheduler.Enqueue(job)
		is.True(refusal != nil)
		is.Equal(refusal.Reason, ReasonLimited)
		if previous > 0 {
			is.Equal((refusal.RetryAfter - previous).Round(time.Millisecond), time.Second/4)
		}
		previous = refusal.RetryAfter
	}
	for range 100 {
		job := newJob(clock)
		job.Deadline = clock.Now().Add(serviceTime)
		_, refusal := scheduler.Enqueue(job)
		is.True(refusal.RetryAfter <= time.Second/4+maxReturnSpread)
	}
}
