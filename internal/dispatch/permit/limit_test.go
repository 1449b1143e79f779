package permit

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in any limitWindow an
	// upstream gets at most limitFactor times what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitContact is the time after an upstream first named a limit from which the bound
	// holds.
	limitContact = 3 * time.Second
	// answerTime is how long the upstream takes for a request.
	answerTime = 150 * time.Millisecond
	// limitStep is the time between two requests.
	limitStep = 50 * time.Millisecond
)

// limitedFleet is a fleet whose upstream names a rate limit in its answers.
type limitedFleet struct {
	*fleet

	t *testing.T
	// limit is the limit that the upstream names, 0 for none.
	limit float64
	// namedAt is when it first named one.
	namedAt time.Time
	sends   []time.Time
	running []runningRequest
}

type runningRequest struct {
	permit *Permit
	endsAt time.Time
}

// request sends a request through a host. It has no time to wait.
func (limitedfleet *limitedFleet) request(host int) {
	now := limitedfleet.clock.Now()
	job := limitedfleet.newJob()
	job.Goal, job.Deadline = now.Add(limitStep/5), now.Add(limitStep/5)
	ctx, cancel := context.WithTimeout(limitedfleet.t.Context(), 10*time.Second)
	defer cancel()
	permit, _ := limitedfleet.clients[host].Acquire(ctx, job)
	if ctx.Err() != nil {
		limitedfleet.t.Fatal("a request waited that had no time to wait")
	}
	if permit == nil {
		return
	}
	limitedfleet.sends = append(limitedfleet.sends, now)
	limitedfleet.running = append(limitedfleet.running, runningRequest{permit: permit, endsAt: now.Add(answerTime)})
}

// silence sets whether other hosts get no reply from a host.
func (limitedfleet *limitedFleet) silence(peer netip.AddrPort, silent bool) {
	limitedfleet.network.mutex.Lock()
	defer limitedfleet.network.mutex.Unlock()
	limitedfleet.network.silent[peer] = silent
}

// answer ends the requests whose work is done.
func (limitedfleet *limitedFleet) answer() {
	now := limitedfleet.clock.Now()
	rest := limitedfleet.running[:0]
	for _, request := range limitedfleet.running {
		if now.Before(request.endsAt) {
			rest = append(rest, request)
			continue
		}
		if limitedfleet.limit > 0 && limitedfleet.namedAt.IsZero() {
			limitedfleet.namedAt = now
		}
		request.permit.RecordLimit(limitedfleet.limit)
		request.permit.Release(admit.ResultAnswered, nil)
		limitedfleet.awaitRelease(request.permit)
	}
	limitedfleet.running = rest
}

// awaitRelease waits until the primary of the permit, if there is one and it can be
// reached, has processed its release.
func (limitedfleet *limitedFleet) awaitRelease(permit *Permit) {
	primary := limitedfleet.network.hosts[permit.primary.Peer]
	remote := permit.primary.Name != permit.client.self
	limitedfleet.network.mutex.Lock()
	silent := limitedfleet.network.silent[permit.primary.Peer]
	limitedfleet.network.mutex.Unlock()
	if permit.ticket != nil || remote && silent {
		return
	}
	synctest.Wait() // the releases wait for the clock, or have been sent
	primary.mutex.Lock()
	_, held := primary.leases[permit.number]
	primary.mutex.Unlock()
	if held {
		limitedfleet.t.Fatal("a release has not reached its primary")
	}
}

// checkLimit checks the sends of every window from limitContact after the limit was named.
func (limitedfleet *limitedFleet) checkLimit(perSecond float64) {
	limitedfleet.t.Helper()
	is := is.New(limitedfleet.t)
	most := 0
	for first, start := range limitedfleet.sends {
		if start.Before(limitedfleet.namedAt.Add(limitContact)) {
			continue
		}
		count := 0
		for _, at := range limitedfleet.sends[first:] {
			if at.Sub(start) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	limitedfleet.t.Logf("%d sends in 4 s, allowed %.1f", most, allowed)
	is.True(float64(most) <= allowed)
}

// TestUpstreamRateLimit guards against an upstream that says how much it takes from all
// hosts together, and gets more: from hosts that heard it, from those that were told by
// another one, through primaries that change, and from hosts that do not reach a primary.
func TestUpstreamRateLimit(t *testing.T) {
	cases := []struct {
		name  string
		limit float64
		// step, if set, is called before the request with the number.
		step func(fleet *limitedFleet, number int)
	}{
		{"one primary", 2, nil},
		{"small limit", 0.5, nil},
		{"primary changes each second", 2, func(fleet *limitedFleet, number int) {
			if number%20 == 0 {
				entries := append(fleet.entries[:0:0], fleet.entries...)
				entries[number/20%len(entries)].Draining = true
				for position, client := range fleet.clients {
					client.Update(entries)
					fleet.exclusive[position].Update(serviceName, []admit.Target{fleet.target}, fleet.table)
				}
			}
		}},
		{"half of the hosts do not reach the primary", 4, func(fleet *limitedFleet, number int) {
			fleet.silence(fleet.entries[fleet.primaryOf(fleet.t)].Peer, number%2 == 0)
		}},
		{"no host reaches another one", 2, func(fleet *limitedFleet, number int) {
			for _, entry := range fleet.entries {
				fleet.silence(entry.Peer, number > 100)
			}
		}},
	}
	for _, testcase := range cases {
		inBubble(t, testcase.name, func(t *testing.T) {
			fleet := &limitedFleet{t: t, fleet: newFleet(t, 6), limit: testcase.limit}
			for number := range 600 {
				if testcase.step != nil {
					testcase.step(fleet, number)
				}
				fleet.answer()
				fleet.request(number % len(fleet.clients))
				fleet.advance(limitStep)
			}
			fleet.checkLimit(testcase.limit)
			fleet.settle()
		})
	}
}

// TestLatePrimaryOfLimitedUpstream guards against hosts that admit requests to a limited
// upstream by themselves when its primary is late: their sends add up to more than the
// limit. They ask the next host instead.
func TestLatePrimaryOfLimitedUpstream(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	requester := (fleet.primaryOf(t) + 1) % 3
	network, client := fleet.network, fleet.clients[requester]
	network.blocked, network.askReceived = make(chan struct{}), make(chan struct{})
	client.local.RecordLimit(serviceName, fleet.target.Owner, 1, fleet.clock.Now())
	refusals := make(chan *admit.Refusal, 1)
	go func() {
		_, refusal := client.Acquire(t.Context(), fleet.newJob())
		refusals <- refusal
	}()
	for asked := 0; ; asked++ {
		select {
		case <-network.askReceived:
			fleet.clock.Advance(requestTimeout)
			continue
		case refusal := <-refusals:
			is.True(asked > 0)
			is.True(refusal != nil)
			is.Equal(refusal.Reason, admit.ReasonLimited)
		}
		break
	}
	close(network.blocked)
}
