package steer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// fault is a kind of fault or event that the random model injects.
type fault struct {
	name string
	// intervals are the average numbers of steps between two such faults of which one is
	// drawn for each run. With zero there are none.
	intervals []int
	inject    func(chaos *chaos, upstream *upstream)
}

const interimLeader = "interim leader"

var (
	often     = []int{0, 0, 250, 600}
	sometimes = []int{0, 0, 0, 0, 0, 0, 200, 800}
	rarely    = []int{0, 0, 0, 0, 0, 0, 500, 1000}
)

var faults = []fault{
	{"silence", often, func(chaos *chaos, upstream *upstream) {
		upstream.silentUntil = chaos.after(0, 6*time.Second)
	}},
	{"cut until the holds end", often, func(chaos *chaos, upstream *upstream) {
		if len(upstream.rows) > 0 {
			upstream.cutUntil = upstream.rows[0].until.Add(chaos.duration(0, 800*time.Millisecond))
			upstream.heldBack = chaos.oneIn(2)
		}
	}},
	{"restart", rarely, func(chaos *chaos, upstream *upstream) { chaos.startAgain(upstream) }},
	{"crash", rarely, func(chaos *chaos, upstream *upstream) {
		upstream.exitAt = chaos.clock.Now()
		chaos.later(0, 5*time.Second, func() { chaos.startAgain(upstream) })
	}},
	{"drain and leave", rarely, func(chaos *chaos, upstream *upstream) {
		upstream.instance.Draining = true
		chaos.leave(upstream, time.Second, 5*time.Second)
	}},
	{"leave at once", rarely, func(chaos *chaos, upstream *upstream) { chaos.leave(upstream, 0, 50*time.Millisecond) }},
	{"change of the leader", rarely, func(chaos *chaos, _ *upstream) {
		chaos.depose()
		chaos.later(0, 400*time.Millisecond, chaos.electAny)
	}},
	{interimLeader, rarely, func(chaos *chaos, _ *upstream) { chaos.interim(2 * time.Second) }},
	{"lapse of the lease", sometimes, func(chaos *chaos, _ *upstream) {
		term := chaos.group.term
		chaos.group.lapsed = true
		chaos.later(0, 300*time.Millisecond, func() { chaos.group.lapsed = chaos.group.lapsed && chaos.group.term != term })
	}},
	{"restart of a control host", rarely, func(chaos *chaos, _ *upstream) {
		number := chaos.number(len(chaos.group.members))
		if chaos.group.members[number] == chaos.group.leader {
			chaos.depose()
			chaos.later(0, 300*time.Millisecond, chaos.electAny)
		}
		chaos.group.members[number] = chaos.newMember()
	}},
	{"unknown outcomes", sometimes, func(chaos *chaos, _ *upstream) { chaos.group.unknown = 1 + chaos.number(3) }},
	{"evacuation", often, func(chaos *chaos, upstream *upstream) {
		chaos.command(state.EvacuateDataCentre{Name: upstream.instance.DataCentre, Evacuated: true})
		chaos.later(0, 4*time.Second, func() {
			chaos.command(state.EvacuateDataCentre{Name: upstream.instance.DataCentre})
		})
	}},
	{"cold upstream", sometimes, func(_ *chaos, upstream *upstream) { upstream.instance.Cold = !upstream.instance.Cold }},
	{"changed slots", sometimes, func(chaos *chaos, upstream *upstream) { upstream.instance.Slots = 1 + chaos.number(4) }},
	{"busy keys", sometimes, func(chaos *chaos, _ *upstream) {
		keys := make([]uint16, 400)
		first := chaos.number(1 << 16)
		for position := range keys {
			keys[position] = uint16(first + chaos.number(2048))
		}
		chaos.poll(PollArgs{Keys: map[string][]uint16{jobs: keys}})
	}},
	{"failed requests", sometimes, func(chaos *chaos, upstream *upstream) {
		chaos.poll(PollArgs{Work: map[string]RequestStats{upstream.instance.ID: {Failed: 6}}})
	}},
	{"late heartbeat", often, func(chaos *chaos, upstream *upstream) {
		if upstream.call != nil {
			upstream.call.deliverAt = chaos.after(0, 5*time.Second)
		}
	}},
	{"silence after a broken connection", often, func(chaos *chaos, upstream *upstream) {
		upstream.call, upstream.nextCall = nil, chaos.clock.Now()
		chaos.later(20*time.Millisecond, time.Second, func() { upstream.silentUntil = chaos.after(holdExpiry, holdExpiry+time.Second) })
	}},
	{"broken connection", sometimes, func(chaos *chaos, upstream *upstream) {
		if upstream.call != nil {
			upstream.call, upstream.nextCall = nil, chaos.clock.Now()
		}
	}},
}

// chaos injects faults into a simulation and interleaves its operations at random.
type chaos struct {
	*simulation
	random *rand.Rand
	// intervals is the average number of steps between two faults of each kind, or zero.
	intervals []int
	// due are actions for later times.
	due []action
	// interims is set if an interim leader may take over in the middle of a decision.
	interims bool
}

type action struct {
	at  time.Time
	run func()
}

func (chaos *chaos) number(limit int) int   { return chaos.random.IntN(limit) }
func (chaos *chaos) oneIn(chances int) bool { return chaos.random.IntN(chances) == 0 }

func (chaos *chaos) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(chaos.random.Int64N(int64(most-least)+1))
}

func (chaos *chaos) after(least, most time.Duration) time.Time {
	return chaos.clock.Now().Add(chaos.duration(least, most))
}

func (chaos *chaos) later(least, most time.Duration, run func()) {
	chaos.due = append(chaos.due, action{at: chaos.after(least, most), run: run})
}

// depose takes the lease from the leader.
func (chaos *chaos) depose() { chaos.group.leader = nil }

func (chaos *chaos) electAny() {
	if chaos.group.leader == nil {
		chaos.elect(chaos.number(len(chaos.group.members)))
	}
}

// elect makes a member the leader, which is reached by heartbeats that were on their way
// for long.
func (chaos *chaos) elect(number int) {
	chaos.group.elect(chaos.group.members[number], chaos.oneIn(2))
	for _, call := range chaos.calls {
		if !call.lost && chaos.oneIn(2) {
			call.deliverAt = chaos.after(0, 200*time.Millisecond)
		}
	}
}

// interim lets any member lead in a term of its own until the present leader leads again.
func (chaos *chaos) interim(most time.Duration) {
	former := slices.Index(chaos.group.members, chaos.group.leader)
	if former < 0 {
		return
	}
	chaos.depose()
	chaos.elect(chaos.number(len(chaos.group.members)))
	chaos.later(0, most, func() {
		chaos.depose()
		chaos.elect(former)
	})
}

// leave deregisters an upstream, which exits a little later and starts again.
func (chaos *chaos) leave(upstream *upstream, least, most time.Duration) {
	born := upstream.instance.Born
	chaos.later(least, most, func() {
		if upstream.instance.Born != born {
			return
		}
		chaos.startDeregistration(upstream).prompt = chaos.oneIn(2)
		upstream.exitAt = chaos.after(0, 3*time.Second)
		chaos.later(3*time.Second, 6*time.Second, func() { chaos.startAgain(upstream) })
	})
}

// startAgain restarts an upstream, which may be cold for a while.
func (chaos *chaos) startAgain(upstream *upstream) {
	chaos.restart(upstream)
	if chaos.oneIn(2) {
		upstream.instance.Cold = true
		born := upstream.instance.Born
		chaos.later(0, 4*time.Second, func() {
			if upstream.instance.Born == born {
				upstream.instance.Cold = false
			}
		})
	}
}

// command commits an operator's command.
func (chaos *chaos) command(command state.Command) {
	if chaos.group.leader != nil {
		chaos.group.waiting = append(chaos.group.waiting, &logEntry{command: command})
		chaos.group.commit()
	}
}

// poll sends an entry host's report to the leader.
func (chaos *chaos) poll(args PollArgs) {
	if chaos.group.leader != nil {
		args.Entry = state.Entry{Name: "entry"}
		chaos.startPoll(args).prompt = chaos.oneIn(2)
	}
}

// disturb draws the delays and losses of a heartbeat and its answer.
func (chaos *chaos) disturb(call *call) {
	call.deliverAt = chaos.after(0, 60*time.Millisecond)
	call.answerDelay = chaos.duration(0, 60*time.Millisecond)
	switch chaos.number(40) {
	case 0:
		call.lost = true
	case 1:
		call.answerLost = true
	case 2:
		call.answerDelay = chaos.duration(0, 1100*time.Millisecond)
	case 3:
		call.deliverAt = chaos.after(0, 1100*time.Millisecond)
	case 4:
		call.repeated = true
	case 5:
		call.target = chaos.group.members[chaos.number(len(chaos.group.members))]
	}
}

// interleave continues the operations of one step. Some run to their ends at once, and
// some pause at any seam for any time until their context expires.
func (chaos *chaos) interleave() {
	now := chaos.clock.Now()
	for _, operation := range append([]*operation(nil), chaos.scheduler.operations...) {
		if operation.seam == "start" {
			operation.prompt = operation.prompt || chaos.oneIn(4)
		}
		if now.Sub(operation.startedAt) > operation.timeout {
			operation.timedOut = true
			operation.prompt = true
		}
		if operation.prompt {
			chaos.scheduler.finish(operation)
		}
	}
	for range chaos.number(6) {
		chaos.continueAny(now)
		if chaos.oneIn(4) {
			chaos.group.commit()
		}
		if chaos.oneIn(2) {
			chaos.group.publish()
		}
	}
	if !chaos.group.delayed || chaos.oneIn(3) {
		chaos.group.publish()
	}
}

// continueAny continues one operation for some seams.
func (chaos *chaos) continueAny(now time.Time) {
	if len(chaos.scheduler.operations) == 0 {
		return
	}
	operation := chaos.scheduler.operations[chaos.number(len(chaos.scheduler.operations))]
	if now.Before(operation.pausedUntil) {
		return
	}
	for range 1 + chaos.number(20) {
		if operation.ended {
			return
		}
		if strings.HasPrefix(operation.seam, "before commit") && chaos.group.leader == nil {
			return
		}
		chaos.scheduler.step(operation)
		decides := strings.HasPrefix(operation.seam, "log ") || strings.HasSuffix(operation.seam, "ChangeSpans")
		if decides && chaos.oneIn(2) || chaos.oneIn(200) {
			operation.pausedUntil = now.Add(chaos.duration(0, 1200*time.Millisecond))
			operation.timedOut = chaos.oneIn(20)
			chaos.note("%s pauses for %v at %s", operation.name, operation.pausedUntil.Sub(now), operation.seam)
			chaos.stir(now)
			return
		}
	}
}

// stir lets upstreams send heartbeats soon, also those that were cut off or silent until
// their holds ended.
func (chaos *chaos) stir(now time.Time) {
	if chaos.interims && chaos.oneIn(3) {
		chaos.interim(500 * time.Millisecond)
	}
	for _, upstream := range chaos.upstreams {
		if chaos.oneIn(3) {
			continue
		}
		upstream.nextCall = chaos.after(0, 50*time.Millisecond)
		if len(upstream.rows) == 0 && !chaos.oneIn(4) {
			upstream.cutUntil, upstream.silentUntil = now, now
		}
	}
}

// next advances the simulation after a fault that may occur.
func (chaos *chaos) next() {
	for kind, fault := range faults {
		if chaos.intervals[kind] == 0 || !chaos.oneIn(chaos.intervals[kind]) {
			continue
		}
		upstream := chaos.upstreams[chaos.number(len(chaos.upstreams))]
		chaos.note("%s (%s)", fault.name, upstream.instance.ID)
		fault.inject(chaos, upstream)
	}
	now := chaos.clock.Now()
	due := chaos.due
	chaos.due = nil
	for _, action := range due {
		if now.Before(action.at) {
			chaos.due = append(chaos.due, action)
			continue
		}
		action.run()
	}
	chaos.step()
}

// heal ends all faults.
func (chaos *chaos) heal() {
	chaos.due, chaos.tickEvery = nil, tickInterval
	chaos.group.unknown, chaos.group.delayed, chaos.group.lapsed = 0, false, false
	chaos.scheduler.finishAll()
	chaos.behavePromptly()
	chaos.electAny()
	for _, upstream := range chaos.upstreams {
		upstream.silentUntil, upstream.cutUntil = time.Time{}, time.Time{}
		chaos.command(state.EvacuateDataCentre{Name: upstream.instance.DataCentre})
		if !upstream.up || upstream.instance.Draining || !upstream.exitAt.IsZero() {
			chaos.restart(upstream)
		}
	}
}

// TestConcurrentOperationsKeepOneHolder guards against two holders of one key, and
// against fences that don't increase, where heartbeats, ticks and commits overlap in any
// order while upstreams, messages and leaders fail. Once all faults have ended, all keys
// must be held again.
func TestConcurrentOperationsKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var seed uint64
		for range 32 {
			seed <<= 1
			if rapid.Bool().Draw(t, "bit of the seed") {
				seed++
			}
		}
		chaos := &chaos{simulation: newSimulation(rapid.IntRange(1, 3).Draw(t, "members"), rapid.IntRange(2, 6).Draw(t, "upstreams")), random: rand.New(rand.NewPCG(seed, seed))}
		for _, fault := range faults {
			interval := rapid.SampledFrom(fault.intervals).Draw(t, fault.name)
			chaos.intervals = append(chaos.intervals, interval)
			chaos.interims = chaos.interims || fault.name == interimLeader && interval > 0
		}
		chaos.group.delayed = rapid.Bool().Draw(t, "catalog is published late")
		for _, upstream := range chaos.upstreams {
			upstream.drift = rapid.SampledFrom([]float64{1, 1.02}).Draw(t, "drift")
		}
		chaos.tickEvery = rapid.SampledFrom([]time.Duration{tickInterval, 2 * tickInterval}).Draw(t, "tick")
		chaos.schedule, chaos.prepare = chaos.interleave, chaos.disturb
		chaos.releaseDelay = func() time.Duration { return max(0, chaos.duration(-200*time.Millisecond, 200*time.Millisecond)) }
		defer chaos.close()
		for range rapid.SampledFrom([]int{1500, 1000, 500}).Draw(t, "steps") {
			chaos.next()
			if chaos.violation != "" {
				t.Fatalf("%s%s", chaos.violation, chaos.trace())
			}
		}
		if !chaos.oneIn(4) {
			return
		}
		chaos.heal()
		chaos.run(holdExpiry)
		for range 100 {
			if chaos.unheld() == 0 {
				break
			}
			chaos.run(100 * time.Millisecond)
		}
		if chaos.violation != "" {
			t.Fatalf("after the faults ended: %s%s", chaos.violation, chaos.trace())
		}
		if unheld := chaos.unheld(); unheld > 0 {
			t.Fatalf("%d keys have no holder after all faults ended%s", unheld, chaos.trace())
		}
	})
}
