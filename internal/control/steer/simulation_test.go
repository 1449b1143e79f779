package steer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// row is a range of keys that an upstream holds, or has to release but is working on.
type row struct {
	Hold
	until time.Time
	// releaseAt is when work on a range that has to be released ends.
	releaseAt time.Time
}

// call is a heartbeat on its way, and its answer.
type call struct {
	upstream  *upstream
	heartbeat Heartbeat
	sentAt    time.Time
	deliverAt time.Time
	lost      bool
	// repeated is set if the heartbeat arrives twice. The second answer counts.
	repeated bool
	// target handles the heartbeat. Without one, the leader does.
	target      *member
	operation   *operation
	answer      HeartbeatReply
	err         error
	answerDelay time.Duration
	answerLost  bool
	// answered is set once the answer is on its way, to arrive at arrivesAt.
	answered  bool
	arrivesAt time.Time
}

// upstream follows the protocol by which upstreams hold keys.
type upstream struct {
	instance state.Instance
	up       bool
	// drift is the factor by which its clock makes times too long.
	drift    float64
	sequence uint64
	rows     []row
	released []Release
	// seen are all ranges that it was granted.
	seen []Hold
	// call is the heartbeat that it waits for.
	call     *call
	nextCall time.Time
	// silentUntil is until when it sends no heartbeats.
	silentUntil time.Time
	// cutUntil is until when its heartbeats are lost, or held back.
	cutUntil time.Time
	heldBack bool
	exitAt   time.Time
}

// taken is a range of keys that an upstream began to hold.
type taken struct {
	Hold
	owner spans.Owner
}

// event is formatted only if a test fails.
type event struct {
	at     time.Time
	format string
	values []any
}

const (
	// simulatedInterval is the time between two heartbeats of an upstream.
	simulatedInterval = 870 * time.Millisecond
	// answerTimeout is how long an upstream waits for the answer to a heartbeat.
	answerTimeout = time.Second
	// stepTime is the time that one step of the simulation takes.
	stepTime = 10 * time.Millisecond
	// maxTrace is the number of events that a failed test shows.
	maxTrace = 60
)

// simulation is a control group and upstreams that exchange messages with it.
type simulation struct {
	clock     *clockwork.FakeClock
	scheduler *scheduler
	group     *controlGroup
	upstreams []*upstream
	calls     []*call
	history   []taken
	born      int64
	// violation describes the first broken rule.
	violation string
	// events are the log lines and faults so far.
	events    []event
	tickEvery time.Duration
	nextTick  time.Time
	// schedule continues the operations in each step.
	schedule func()
	// prepare sets the delays and losses of a call.
	prepare func(call *call)
	// releaseDelay is how long work on released keys takes.
	releaseDelay func() time.Duration
}

func newSimulation(members, upstreams int) *simulation {
	simulation := &simulation{
		clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), scheduler: &scheduler{yielded: make(chan struct{})},
		group: &controlGroup{catalog: &state.Catalog{}, term: 1}, born: 1, tickEvery: tickInterval,
	}
	service := items.Item{Kind: items.KindService, Name: jobs, Version: 1, Service: &items.Service{Keyed: true}}
	simulation.group.catalog, _ = simulation.group.catalog.Apply(1, state.PutItems{Items: []items.Item{service}})
	for range members {
		simulation.group.members = append(simulation.group.members, simulation.newMember())
	}
	simulation.group.leader = simulation.group.members[0]
	for range upstreams {
		simulation.addUpstream()
	}
	simulation.behavePromptly()
	return simulation
}

// behavePromptly lets all operations run to their ends at once and delivers all
// messages.
func (simulation *simulation) behavePromptly() {
	simulation.schedule = simulation.scheduler.finishAll
	simulation.prepare = func(*call) {}
	simulation.releaseDelay = func() time.Duration { return 0 }
}

// newMember returns a member that knows what has been committed. Operations of a member
// that it replaces never find that they lead.
func (simulation *simulation) newMember() *member {
	member := &member{group: simulation.group, scheduler: simulation.scheduler, catalog: simulation.group.catalog}
	logger := &log.Logger{Handler: pausingHandler{simulation}, Level: log.DebugLevel}
	member.coordinator = New(member, pausingClock{simulation.clock, simulation.scheduler}, logger)
	return member
}

// addUpstream adds an upstream in a data centre of its own.
func (simulation *simulation) addUpstream() *upstream {
	number := len(simulation.upstreams)
	added := &upstream{
		instance: state.Instance{
			ID: fmt.Sprint("up-", number), Born: 1, Service: jobs, Slots: 2, DataCentre: fmt.Sprint("dc-", number),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80),
		},
		up: true, drift: 1.02, nextCall: simulation.clock.Now().Add(time.Duration(number) * 70 * time.Millisecond),
	}
	simulation.upstreams = append(simulation.upstreams, added)
	return added
}

// restart replaces an upstream's process by a new one without state.
func (simulation *simulation) restart(restarted *upstream) {
	simulation.born += 10
	instance := restarted.instance
	instance.Born, instance.Draining, instance.Cold = simulation.born, false, false
	*restarted = upstream{instance: instance, up: true, drift: restarted.drift, nextCall: simulation.clock.Now()}
}

// close ends all operations.
func (simulation *simulation) close() {
	simulation.group.leader = nil
	simulation.scheduler.finishAll()
}

func (simulation *simulation) run(duration time.Duration) {
	for range duration / stepTime {
		simulation.step()
	}
}

func (simulation *simulation) step() {
	simulation.advance(stepTime)
	now := simulation.clock.Now()
	simulation.deliver(now)
	if !now.Before(simulation.nextTick) {
		simulation.nextTick = now.Add(simulation.tickEvery)
		for _, member := range simulation.group.members {
			if member.tick == nil || member.tick.ended {
				member.tick = simulation.startTick(member)
			}
		}
	}
	simulation.schedule()
	for _, upstream := range simulation.upstreams {
		simulation.receive(upstream, now)
		if upstream.up && upstream.call == nil && !now.Before(upstream.nextCall) && !now.Before(upstream.silentUntil) {
			simulation.calls = append(simulation.calls, simulation.send(upstream))
		}
	}
}

// advance advances the clock, ends holds that have expired and finishes releases.
func (simulation *simulation) advance(duration time.Duration) {
	simulation.clock.Advance(duration)
	now := simulation.clock.Now()
	for _, upstream := range simulation.upstreams {
		if !upstream.exitAt.IsZero() && now.After(upstream.exitAt) {
			upstream.up, upstream.rows, upstream.call, upstream.exitAt = false, nil, nil, time.Time{}
		}
		upstream.updateRows(now)
	}
}

// updateRows drops holds that have expired and releases those on which no work is left.
func (upstream *upstream) updateRows(now time.Time) {
	upstream.rows = slices.DeleteFunc(upstream.rows, func(row row) bool {
		if now.After(row.until) {
			return true
		}
		if row.releaseAt.IsZero() || now.Before(row.releaseAt) {
			return false
		}
		upstream.released = append(upstream.released, Release{From: row.From, To: row.To, Handover: "token"})
		upstream.nextCall = now.Add(50 * time.Millisecond)
		return true
	})
}

// send returns an upstream's next heartbeat.
func (simulation *simulation) send(upstream *upstream) *call {
	now := simulation.clock.Now()
	upstream.sequence++
	heartbeat := Heartbeat{Instance: upstream.instance, Sequence: upstream.sequence, Released: slices.Clone(upstream.released)}
	for _, row := range upstream.rows {
		heartbeat.Holds = append(heartbeat.Holds, row.Hold)
	}
	call := &call{upstream: upstream, heartbeat: heartbeat, sentAt: now, deliverAt: now.Add(10 * time.Millisecond), answerDelay: 10 * time.Millisecond}
	simulation.prepare(call)
	if now.Before(upstream.cutUntil) {
		call.lost = call.lost || !upstream.heldBack
		call.deliverAt = upstream.cutUntil
	}
	upstream.call = call
	return call
}

// deliver starts the processing of heartbeats that have arrived.
func (simulation *simulation) deliver(now time.Time) {
	simulation.calls = slices.DeleteFunc(simulation.calls, func(call *call) bool {
		if now.Before(call.deliverAt) {
			return false
		}
		if !call.lost {
			simulation.startHeartbeat(call)
			if call.repeated {
				simulation.startHeartbeat(call)
			}
		}
		return true
	})
}

// startHeartbeat starts the processing of a heartbeat.
func (simulation *simulation) startHeartbeat(call *call) *operation {
	target := call.target
	if target == nil {
		target = simulation.group.leader
	}
	if target == nil {
		target = simulation.group.members[0]
	}
	operation := &operation{
		name: "heartbeat of " + call.upstream.instance.ID, coordinator: target.coordinator,
		startedAt: simulation.clock.Now(), timeout: callTimeout,
	}
	call.operation = operation
	simulation.scheduler.start(operation, func() {
		answer, err := operation.coordinator.HandleHeartbeat(context.Background(), call.heartbeat)
		if call.operation == operation {
			call.answer, call.err = answer, err
		}
	})
	return operation
}

func (simulation *simulation) startTick(member *member) *operation {
	tick := &operation{name: "tick", coordinator: member.coordinator, startedAt: simulation.clock.Now(), timeout: proposeTimeout}
	simulation.scheduler.start(tick, member.coordinator.Tick)
	return tick
}

// startPoll starts the processing of an entry host's report.
func (simulation *simulation) startPoll(args PollArgs) *operation {
	poll := &operation{name: "poll", coordinator: simulation.group.leader.coordinator, startedAt: simulation.clock.Now(), timeout: callTimeout}
	simulation.scheduler.start(poll, func() { _, _ = poll.coordinator.Poll(context.Background(), args) })
	return poll
}

// receive processes the answer to an upstream's heartbeat, once it has arrived, or
// gives the heartbeat up.
func (simulation *simulation) receive(upstream *upstream, now time.Time) {
	call := upstream.call
	if call == nil {
		return
	}
	if call.operation != nil && call.operation.ended && !call.answered {
		call.answered, call.arrivesAt = true, now.Add(call.answerDelay)
	}
	switch {
	case now.Sub(call.sentAt) > time.Duration(float64(answerTimeout)*upstream.drift):
		upstream.call, upstream.nextCall = nil, now
	case call.answered && !call.answerLost && !now.Before(call.arrivesAt):
		upstream.call = nil
		if call.err != nil {
			upstream.nextCall = now.Add(20 * time.Millisecond)
			return
		}
		upstream.nextCall = call.sentAt.Add(simulatedInterval)
		upstream.released = upstream.released[len(call.heartbeat.Released):]
		if call.answer.Renewed {
			simulation.accept(upstream, call)
		}
		if len(upstream.released) > 0 {
			upstream.nextCall = now.Add(50 * time.Millisecond)
		}
	}
}

// accept applies the holds of an answer. What is left out is released once no work on
// it is left.
func (simulation *simulation) accept(upstream *upstream, call *call) {
	now := simulation.clock.Now()
	until := call.sentAt.Add(time.Duration(float64(call.answer.HoldTime) * upstream.drift))
	var rows, wanted []row
	for _, hold := range call.answer.Holds {
		hold.Handover = ""
		if slices.ContainsFunc(upstream.seen, func(seen Hold) bool { return overlapping(seen, hold) && seen.Fence > hold.Fence }) {
			continue
		}
		if !slices.Contains(upstream.seen, hold) {
			upstream.seen = append(upstream.seen, hold)
		}
		wanted = append(wanted, row{Hold: hold, until: until})
	}
	for _, previous := range upstream.rows {
		for _, rest := range subtract(previous.Hold, wanted) {
			kept := row{Hold: rest, until: previous.until, releaseAt: previous.releaseAt}
			if kept.releaseAt.IsZero() {
				kept.releaseAt = now.Add(simulation.releaseDelay())
			}
			rows = append(rows, kept)
		}
	}
	for _, row := range wanted {
		simulation.checkTaken(upstream, row.Hold)
	}
	upstream.rows = append(rows, wanted...)
	simulation.note("%s received holds %v for heartbeat %d", upstream.instance.ID, call.answer.Holds, call.heartbeat.Sequence)
	upstream.updateRows(now)
	simulation.checkHolders(upstream)
}

// checkTaken checks the fence of the keys that an upstream begins to hold.
func (simulation *simulation) checkTaken(upstream *upstream, hold Hold) {
	var same []row
	for _, row := range upstream.rows {
		if row.Fence == hold.Fence {
			same = append(same, row)
		}
	}
	owner := upstream.instance.Owner()
	for _, piece := range subtract(hold, same) {
		for _, earlier := range simulation.history {
			if earlier.owner != owner && earlier.Fence >= hold.Fence && overlapping(earlier.Hold, piece) {
				simulation.report("%s takes %s, which %s had with fence %d", owner.ID, formatHolds([]Hold{piece}), earlier.owner.ID, earlier.Fence)
			}
		}
	}
	if began := (taken{Hold: hold, owner: owner}); !slices.Contains(simulation.history, began) {
		simulation.history = append(simulation.history, began)
	}
}

// checkHolders checks that no other upstream holds keys that an upstream holds.
func (simulation *simulation) checkHolders(upstream *upstream) {
	for _, other := range simulation.upstreams {
		if other == upstream {
			continue
		}
		for _, left := range other.rows {
			for _, right := range upstream.rows {
				if overlapping(left.Hold, right.Hold) {
					simulation.report("%s takes %s, but %s holds %s for %v", upstream.instance.ID, formatHolds([]Hold{right.Hold}),
						other.instance.ID, formatHolds([]Hold{left.Hold}), left.until.Sub(simulation.clock.Now()))
				}
			}
		}
	}
}

func (simulation *simulation) report(format string, values ...any) {
	if simulation.violation == "" {
		simulation.violation = fmt.Sprintf("after %v: ", simulation.clock.Now().Sub(time.Unix(1000, 0))) + fmt.Sprintf(format, values...)
	}
}

func (simulation *simulation) note(format string, values ...any) {
	simulation.events = append(simulation.events, event{at: simulation.clock.Now(), format: format, values: values})
}

// trace returns the last events.
func (simulation *simulation) trace() string {
	var text strings.Builder
	for _, event := range simulation.events[max(0, len(simulation.events)-maxTrace):] {
		fmt.Fprintf(&text, "\n%v: %s", event.at.Sub(time.Unix(1000, 0)), fmt.Sprintf(event.format, event.values...))
	}
	return text.String()
}

// awaitAnswers advances the simulation until none of the upstreams waits for the answer
// to a heartbeat.
func (simulation *simulation) awaitAnswers(upstreams ...*upstream) {
	for slices.ContainsFunc(upstreams, func(upstream *upstream) bool { return upstream.call != nil }) {
		simulation.step()
	}
}

// exchange sends an upstream's heartbeat and processes it and its answer at once. A
// heartbeat that is on its way is lost.
func (simulation *simulation) exchange(upstream *upstream) {
	simulation.calls = slices.DeleteFunc(simulation.calls, func(call *call) bool { return call == upstream.call })
	call := simulation.send(upstream)
	if call.lost {
		return
	}
	simulation.scheduler.finish(simulation.startHeartbeat(call))
	call.answerDelay = 0
	simulation.receive(upstream, simulation.clock.Now())
}

// unheld returns the number of keys without a holder.
func (simulation *simulation) unheld() int {
	held := 0
	for _, upstream := range simulation.upstreams {
		for _, row := range upstream.rows {
			held += int(row.To) - int(row.From) + 1
		}
	}
	return spans.MaxKey + 1 - held
}

func overlapping(left, right Hold) bool { return left.From <= right.To && right.From <= left.To }

// subtract returns the parts of a hold that no row covers.
func subtract(hold Hold, rows []row) []Hold {
	rest := []Hold{hold}
	for _, row := range rows {
		var next []Hold
		for _, piece := range rest {
			if !overlapping(piece, row.Hold) {
				next = append(next, piece)
				continue
			}
			if piece.From < row.From {
				next = append(next, Hold{From: piece.From, To: row.From - 1, Fence: piece.Fence})
			}
			if piece.To > row.To {
				next = append(next, Hold{From: row.To + 1, To: piece.To, Fence: piece.Fence})
			}
		}
		rest = next
	}
	return rest
}
