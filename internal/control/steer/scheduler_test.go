package steer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// operation is one call of a Coordinator that runs in its own goroutine.
type operation struct {
	name        string
	coordinator *Coordinator
	resume      chan struct{}
	// seam names the call at which the operation is paused.
	seam  string
	ended bool
	// free is set once the operation no longer pauses.
	free bool
	// timedOut is set once its context has expired. What it proposed may be committed,
	// but it doesn't learn of that.
	timedOut  bool
	startedAt time.Time
	timeout   time.Duration
	// prompt and pausedUntil tell the random model when to continue the operation.
	prompt      bool
	pausedUntil time.Time
}

// scheduler runs operations one at a time. It switches between them at seams, which
// are calls of the Node, the clock and the logger.
type scheduler struct {
	operations []*operation
	running    *operation
	yielded    chan struct{}
}

// start adds an operation that is paused before its first statement.
func (scheduler *scheduler) start(operation *operation, run func()) {
	operation.resume, operation.seam = make(chan struct{}), "start"
	scheduler.operations = append(scheduler.operations, operation)
	go func() {
		<-operation.resume
		run()
		operation.ended, operation.seam = true, "end"
		scheduler.yielded <- struct{}{}
	}()
}

// pause returns control to the test until it continues the operation. Operations that
// hold the mutex go on: only one runs at a time and paused ones don't hold it, so it
// can only be locked by the caller.
func (scheduler *scheduler) pause(seam string) {
	operation := scheduler.running
	if operation == nil || operation.free || operation.coordinator.locked() {
		return
	}
	operation.seam = seam
	scheduler.yielded <- struct{}{}
	<-operation.resume
}

// locked reports whether one of the mutexes is locked.
func (coordinator *Coordinator) locked() bool {
	for _, mutex := range []*sync.Mutex{&coordinator.mutex, &coordinator.holds.mutex} {
		if !mutex.TryLock() {
			return true
		}
		mutex.Unlock()
	}
	return false
}

// step continues an operation until its next seam.
func (scheduler *scheduler) step(operation *operation) {
	scheduler.running = operation
	operation.resume <- struct{}{}
	<-scheduler.yielded
	scheduler.running = nil
	if operation.ended {
		position := slices.Index(scheduler.operations, operation)
		scheduler.operations = slices.Delete(scheduler.operations, position, position+1)
	}
}

// finish runs an operation to its end.
func (scheduler *scheduler) finish(operation *operation) {
	operation.free = true
	for !operation.ended {
		scheduler.step(operation)
	}
}

// finishAll runs all operations to their ends.
func (scheduler *scheduler) finishAll() {
	for len(scheduler.operations) > 0 {
		scheduler.finish(scheduler.operations[0])
	}
}

// runUntil continues an operation until it pauses at the seam or ends.
func (scheduler *scheduler) runUntil(operation *operation, seam string) {
	for !operation.ended && operation.seam != seam {
		scheduler.step(operation)
	}
}

// pausingClock pauses operations before and after they read the clock.
type pausingClock struct {
	*clockwork.FakeClock
	scheduler *scheduler
}

func (pausingclock pausingClock) Now() time.Time {
	pausingclock.scheduler.pause("before clock")
	now := pausingclock.FakeClock.Now()
	pausingclock.scheduler.pause("after clock")
	return now
}

// pausingHandler notes each line that operations log, and pauses them there.
type pausingHandler struct{ simulation *simulation }

func (pausinghandler pausingHandler) HandleLog(entry *log.Entry) error {
	pausinghandler.simulation.note("%s %v", entry.Message, entry.Fields)
	pausinghandler.simulation.scheduler.pause("log " + entry.Message)
	return nil
}

// logEntry is a proposed command.
type logEntry struct {
	command          state.Command
	result           state.Result
	applied, dropped bool
}

// controlGroup is a control group of several members, of which one leads at most.
type controlGroup struct {
	members []*member
	// leader is nil while no member leads, and lapsed is set while it leads without a
	// lease.
	leader *member
	lapsed bool
	term   uint64
	// catalog is the result of all committed commands, and waiting are those not yet
	// committed.
	catalog *state.Catalog
	waiting []*logEntry
	// delayed is set while the leader acknowledges commands before it publishes the
	// catalog with them.
	delayed bool
	// unknown is the number of upcoming proposals whose outcome stays unknown.
	unknown int
}

// commit applies all proposed commands.
func (controlgroup *controlGroup) commit() {
	for _, logentry := range controlgroup.waiting {
		controlgroup.catalog, logentry.result = controlgroup.catalog.Apply(controlgroup.catalog.Index+1, logentry.command)
		logentry.applied = true
	}
	controlgroup.waiting = nil
	if !controlgroup.delayed {
		controlgroup.publish()
	}
}

// publish makes all committed commands visible at the leader.
func (controlgroup *controlGroup) publish() {
	if controlgroup.leader != nil {
		controlgroup.leader.catalog = controlgroup.catalog
	}
}

// elect makes a member the leader of a new term. Commands that were not committed are
// kept or lost.
func (controlgroup *controlGroup) elect(member *member, keep bool) {
	if !keep {
		for _, logentry := range controlgroup.waiting {
			logentry.dropped = true
		}
		controlgroup.waiting = nil
	}
	controlgroup.term++
	controlgroup.leader, controlgroup.lapsed = member, false
	delayed := controlgroup.delayed
	controlgroup.delayed = true
	controlgroup.commit()
	controlgroup.delayed = delayed
	controlgroup.catalog = controlgroup.catalog.AdvanceTo(controlgroup.catalog.Index + 1)
}

// member is a member of a control group and the Node of a Coordinator.
type member struct {
	group       *controlGroup
	scheduler   *scheduler
	coordinator *Coordinator
	// catalog is what the member has published.
	catalog *state.Catalog
	tick    *operation
}

func (member *member) leads() bool { return member.group.leader == member }

func (member *member) Propose(_ context.Context, command state.Command) (state.Result, error) {
	return member.propose(command, 0)
}

// ProposeInTerm fails unless the member leads in the term.
func (member *member) ProposeInTerm(_ context.Context, term uint64, command state.Command) (state.Result, error) {
	return member.propose(command, term)
}

// propose proposes a command in a term, or in any if the term is zero.
func (member *member) propose(command state.Command, term uint64) (state.Result, error) {
	controlgroup, operation := member.group, member.scheduler.running
	member.scheduler.pause(fmt.Sprintf("before append %T", command))
	if !member.leads() || term != 0 && term != controlgroup.term {
		return state.Result{}, group.ErrNotLeader
	}
	logentry := &logEntry{command: command}
	controlgroup.waiting = append(controlgroup.waiting, logentry)
	if !operation.timedOut {
		member.scheduler.pause(fmt.Sprintf("before commit %T", command))
	}
	unknown := operation.timedOut || controlgroup.unknown > 0
	if controlgroup.unknown > 0 {
		controlgroup.unknown--
	}
	if !operation.timedOut && member.leads() {
		controlgroup.commit()
	}
	if !unknown {
		member.scheduler.pause(fmt.Sprintf("after commit %T", command))
	}
	if unknown || operation.timedOut || !logentry.applied {
		return state.Result{}, Error.New("outcome is unknown")
	}
	return logentry.result, nil
}

func (member *member) ReadLinearizable(context.Context) (*state.Catalog, error) {
	member.scheduler.pause("before read")
	if !member.leads() {
		return nil, group.ErrNotLeader
	}
	member.group.commit()
	member.group.publish()
	catalog := member.catalog
	member.scheduler.pause("after read")
	return catalog, nil
}

func (member *member) Catalog() *state.Catalog {
	member.scheduler.pause("before catalog")
	catalog := member.catalog
	member.scheduler.pause("after catalog")
	return catalog
}

func (member *member) HoldsLease() bool {
	member.scheduler.pause("before lease")
	leads := member.leads() && !member.group.lapsed
	member.scheduler.pause("after lease")
	return leads
}

func (member *member) Status() group.Status {
	member.scheduler.pause("before status")
	status := group.Status{Term: member.group.term}
	member.scheduler.pause("after status")
	return status
}
