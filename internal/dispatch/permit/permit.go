// Package permit makes all entry hosts use an upstream as one. A host that wants
// to send a keyed request to an upstream asks the upstream's primary, another
// entry host, for a permit; the request itself goes straight to the upstream.
// Permits are for quality only: a host whose primary is silent goes on by its
// own judgement.
package permit

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("permit")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "permit: "
	// askTimeout bounds the answer to a question, which comes at once: two long
	// answers to callers may be ahead of it on a link of 2 Mbit/s.
	askTimeout = 300 * time.Millisecond
	// lateTimeout is how long the answer is waited for all the same, so that a
	// permit that came too late can be given back.
	lateTimeout = 2 * time.Second
	// lateToSuspect is the number of late answers in a row that make a primary
	// suspect: links that are full for a moment delay one.
	lateToSuspect = 3
	// suspectFor is how long a primary that did not answer is not asked.
	suspectFor = time.Second
	// bearsHere is the expected wait in the own data centre above which others are
	// asked, since answers that cross between data centres are dear.
	bearsHere = 40 * time.Millisecond
	// placesAsked bounds the other data centres that are asked.
	placesAsked = 2
	// doneTimeout bounds the return of a permit.
	doneTimeout = time.Second
)

// Caller sends requests to other hosts.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
	// Drop ends the link to a host, so that requests that wait for it fail.
	Drop(address netip.AddrPort)
}

// Permit is the right to send one request to an upstream.
type Permit struct {
	Target admit.Target
	// Source says who gave the permit, for the log.
	Source string

	desk    *Desk
	ticket  *admit.Ticket
	ask     admit.Ask
	primary state.Entry
	number  uint64
	began   time.Time
}

// Desk gets permits for the requests of one entry host.
type Desk struct {
	self       string
	dataCentre string
	local      *admit.Board
	// primaryHere gives out the permits of the upstreams whose primary this host is.
	primaryHere *Primary
	caller      Caller
	clock       clockwork.Clock
	log         log.Interface

	mutex    sync.Mutex
	entries  []state.Entry
	suspects map[string]time.Time
	// late counts the answers in a row that each primary gave too late.
	late map[string]int
}

// NewDesk returns the desk of a host. Local is the host's own board.
func NewDesk(self state.Entry, local *admit.Board, primaryHere *Primary, caller Caller, clock clockwork.Clock, logger log.Interface) *Desk {
	return &Desk{
		self: self.Name, dataCentre: self.DataCentre, local: local, primaryHere: primaryHere, caller: caller,
		clock: clock, log: logger, suspects: map[string]time.Time{}, late: map[string]int{},
	}
}

// Update takes over the entry hosts.
func (desk *Desk) Update(entries []state.Entry) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(left, right state.Entry) int { return cmp.Compare(left.Name, right.Name) })
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.entries = sorted
}

// primary returns the host that gives out the permits of a subject: by
// rendezvous hashing one of the data centre, where there is one.
func (desk *Desk) primary(subject, dataCentre string) (state.Entry, bool) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := desk.clock.Now()
	var best state.Entry
	var bestScore uint64
	found, foundNear := false, false
	for _, entry := range desk.entries {
		if entry.Draining || !entry.Peer.IsValid() || now.Before(desk.suspects[entry.Name]) {
			continue
		}
		near := entry.DataCentre == dataCentre
		if foundNear && !near {
			continue
		}
		score := xxhash.Sum64String(subject + "/" + entry.Name)
		if !found || near && !foundNear || score > bestScore {
			best, bestScore, found, foundNear = entry, score, true, near
		}
	}
	return best, found
}

// suspect keeps a primary from being asked for a while, unless it is only late
// now and then.
func (desk *Desk) suspect(entry state.Entry, cause error) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	if now.Before(desk.suspects[entry.Name]) {
		desk.mutex.Unlock()
		return // its link was ended then, which fails all that waited there
	}
	if errors.Is(cause, errLate) {
		desk.late[entry.Name]++
		if desk.late[entry.Name] < lateToSuspect {
			desk.mutex.Unlock()
			return
		}
	}
	desk.suspects[entry.Name] = now.Add(suspectFor)
	delete(desk.late, entry.Name)
	desk.mutex.Unlock()
	desk.caller.Drop(entry.Peer)
	desk.log.WithError(cause).WithField("primary", entry.Name).Warn(logPrefix + "a primary did not answer")
}

// noteAnswer notes that a primary answered in time.
func (desk *Desk) noteAnswer(entry state.Entry) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	delete(desk.late, entry.Name)
}

// errLate says that a primary did not answer in time.
var errLate = Error.New("the primary is late")

// errMoved says that the key may have got another owner while a request waited.
var errMoved = Error.New("the owner may have changed")

// Acquire returns a permit, at once or after a wait, or a refusal.
func (desk *Desk) Acquire(ctx context.Context, ask admit.Ask) (*Permit, *admit.Refusal) {
	if !ask.Keyed {
		return desk.acquireAnywhere(ctx, ask)
	}
	for {
		target, changed, refusal := desk.local.Owner(ctx, ask)
		if refusal != nil {
			return nil, refusal
		}
		entry, found := desk.primary(target.Owner.ID, target.DataCentre)
		if !found {
			return desk.own(ctx, desk.local, ask, "host")
		}
		exact := ask
		exact.Owner = target.Owner
		permit, refusal, err := desk.ask(ctx, entry, exact, ask.Deadline.Sub(desk.clock.Now()), changed)
		failed := desk.noteFailure(ctx, entry, err)
		switch {
		case failed && errors.Is(err, errLate):
			return desk.own(ctx, desk.local, ask, "host")
		case failed, errors.Is(err, errMoved):
			continue
		}
		if err != nil {
			return nil, &admit.Refusal{Reason: admit.ReasonCallerLeft}
		}
		return permit, refusal
	}
}

// noteFailure suspects a primary that did not answer, and tells whether to ask
// another.
func (desk *Desk) noteFailure(ctx context.Context, entry state.Entry, err error) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, errMoved) {
		return false
	}
	desk.suspect(entry, err)
	return true
}

// acquireAnywhere gets a permit for a request without a key: in the host's data
// centre, elsewhere where the wait here would be long and there is room at once,
// or else in the queue here.
func (desk *Desk) acquireAnywhere(ctx context.Context, ask admit.Ask) (*Permit, *admit.Refusal) {
	places := desk.local.Places(ask.Service)
	slices.SortFunc(places, func(left, right string) int { return cmp.Compare(desk.distance(left), desk.distance(right)) })
	for number, place := range places {
		bears := time.Duration(0)
		if number == 0 {
			bears = bearsHere
		}
		permit, _, err := desk.askPlace(ctx, ask, place, bears)
		if err == nil && permit != nil {
			return permit, nil
		}
		if ctx.Err() != nil || number >= placesAsked {
			break
		}
	}
	for _, place := range places {
		permit, refusal, err := desk.askPlace(ctx, ask, place, ask.Deadline.Sub(desk.clock.Now()))
		if err == nil && (permit != nil || refusal != nil && refusal.Reason != admit.ReasonNoUpstream) {
			return permit, refusal
		}
		if ctx.Err() != nil {
			break
		}
	}
	return desk.own(ctx, desk.local, ask, "host")
}

// distance orders data centres: the own one first, the others at random.
func (desk *Desk) distance(place string) uint64 {
	if place == desk.dataCentre {
		return 0
	}
	return 1 + xxhash.Sum64String(desk.self+place)>>1
}

// askPlace asks for any upstream of a data centre. It returns neither permit nor
// refusal where the wait there is longer than the request bears.
func (desk *Desk) askPlace(ctx context.Context, ask admit.Ask, place string, bears time.Duration) (*Permit, *admit.Refusal, error) {
	entry, found := desk.primary(ask.Service, place)
	if !found {
		return nil, nil, Error.New("no host gives permits for %s", place)
	}
	ask.Place = place
	permit, refusal, err := desk.ask(ctx, entry, ask, bears, nil)
	desk.noteFailure(ctx, entry, err)
	return permit, refusal, err
}

func (desk *Desk) own(ctx context.Context, board *admit.Board, ask admit.Ask, source string) (*Permit, *admit.Refusal) {
	ticket, refusal := board.Acquire(ctx, ask)
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{Target: ticket.Target, Source: source, desk: desk, ticket: ticket, ask: ask, began: desk.clock.Now()}, nil
}

// ask asks a primary for a permit, and waits for it if the expected wait is not
// longer than the request bears, and as long as the key's owner stays. Without
// permit and refusal the primary is too busy.
func (desk *Desk) ask(ctx context.Context, entry state.Entry, ask admit.Ask, bears time.Duration, changed <-chan struct{}) (*Permit, *admit.Refusal, error) {
	now := desk.clock.Now()
	request, err := payload(kindAsk, askMessage{
		Service: ask.Service, ID: ask.Owner.ID, Born: ask.Owner.Born, Place: ask.Place, Priority: ask.Priority, Bears: bears,
		Left: ask.Deadline.Sub(now).Round(time.Millisecond), Goal: ask.Goal.Sub(now).Round(time.Millisecond),
	})
	if err != nil {
		return nil, nil, err
	}
	reply, err := desk.callInTime(ctx, entry, request)
	if err != nil {
		return nil, nil, Error.New("ask for a permit: %w", err)
	}
	desk.noteAnswer(entry)
	permit := &Permit{Source: entry.Name, desk: desk, ask: ask, primary: entry}
	if reply.Kind == kindQueued {
		var queued grantMessage
		if err := codec.Unmarshal(reply.Head, &queued); err != nil {
			return nil, nil, Error.New("decode place in the queue: %w", err)
		}
		reply, err = desk.await(ctx, entry, queued.Number, ask, changed)
		if err != nil {
			return nil, nil, err
		}
	}
	return permit.take(reply)
}

// answer is how a call ended.
type answer struct {
	reply links.Payload
	err   error
}

// callInTime sends a question to a primary. What it grants too late is given
// back: it would keep a slot until the request's deadline.
func (desk *Desk) callInTime(ctx context.Context, entry state.Entry, request links.Payload) (links.Payload, error) {
	if entry.Name == desk.self {
		return desk.primaryHere.Serve(ctx, request), nil
	}
	answers := make(chan answer, 1)
	timer := desk.clock.NewTimer(askTimeout)
	defer timer.Stop()
	lasting, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateTimeout)
	go func() {
		defer cancel()
		reply, err := desk.call(lasting, entry, request)
		answers <- answer{reply: reply, err: err}
	}()
	err := errLate
	select {
	case answer := <-answers:
		return answer.reply, answer.err
	case <-timer.Chan():
	case <-ctx.Done():
		err = Error.New("the caller left: %w", ctx.Err())
	}
	go func() { desk.returnLate(entry, <-answers) }()
	return links.Payload{}, err
}

// returnLate gives back what a late answer granted.
func (desk *Desk) returnLate(entry state.Entry, late answer) {
	if late.err != nil {
		return // nothing was granted, or nobody knows; the primary's sweep remains
	}
	number, err := numberOf(late.reply)
	if err != nil {
		desk.log.WithError(err).WithField("primary", entry.Name).Warn(logPrefix + "a late answer can't be read")
	}
	if number > 0 {
		desk.returnPermit(entry, doneMessage{Number: number, Result: admit.ResultLeft})
	}
}

// numberOf returns the number of the permit that was granted or queued, or 0.
func numberOf(reply links.Payload) (uint64, error) {
	switch reply.Kind {
	case kindGranted:
		var granted targetMessage
		if err := codec.Unmarshal(reply.Head, &granted); err != nil {
			return 0, Error.New("decode permit: %w", err)
		}
		return granted.Number, nil
	case kindQueued:
		var queued grantMessage
		if err := codec.Unmarshal(reply.Head, &queued); err != nil {
			return 0, Error.New("decode place in the queue: %w", err)
		}
		return queued.Number, nil
	default:
		return 0, nil
	}
}

// call sends a request to a primary, which may be this host.
func (desk *Desk) call(ctx context.Context, entry state.Entry, request links.Payload) (links.Payload, error) {
	if entry.Name == desk.self {
		return desk.primaryHere.Serve(ctx, request), nil
	}
	reply, err := desk.caller.Call(ctx, entry.Peer, request)
	if err != nil {
		return links.Payload{}, Error.New("call %s: %w", entry.Name, err)
	}
	return reply, nil
}

// await waits for a queued permit. It ends early where the owner has changed.
func (desk *Desk) await(ctx context.Context, entry state.Entry, number uint64, ask admit.Ask, changed <-chan struct{}) (links.Payload, error) {
	request, err := payload(kindAwait, awaitMessage{Number: number})
	if err != nil {
		return links.Payload{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	moved := make(chan bool, 1)
	go func() {
		left := ask.Keyed && desk.ownerLeft(ctx, ask, changed)
		if left {
			cancel()
		}
		moved <- left
	}()
	reply, err := desk.call(ctx, entry, request)
	left := ctx.Err() != nil
	cancel()
	if <-moved {
		return links.Payload{}, errMoved
	}
	if err != nil {
		return links.Payload{}, err
	}
	if left && reply.Kind != kindGranted {
		return links.Payload{}, Error.New("the caller left")
	}
	return reply, nil
}

// ownerLeft waits until the context ends or the key has another owner.
func (desk *Desk) ownerLeft(ctx context.Context, ask admit.Ask, changed <-chan struct{}) bool {
	byKey := ask
	byKey.Owner = spans.Owner{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		now, next, refusal := desk.local.Owner(ctx, byKey)
		if refusal != nil {
			return false
		}
		if now.Owner != ask.Owner {
			return true
		}
		changed = next
	}
}

// take reads the primary's final answer.
func (permit *Permit) take(reply links.Payload) (*Permit, *admit.Refusal, error) {
	switch reply.Kind {
	case kindGranted:
		var granted targetMessage
		if err := codec.Unmarshal(reply.Head, &granted); err != nil {
			return nil, nil, Error.New("decode permit: %w", err)
		}
		permit.number = granted.Number
		permit.began = permit.desk.clock.Now()
		target, known := permit.desk.local.Target(permit.ask.Service, spans.Owner{ID: granted.ID, Born: granted.Born})
		if !known || target.Leaving && !permit.ask.Keyed {
			// The primary may be cut off and not know what this host knows.
			permit.Done(admit.ResultLeft, nil)
			return nil, nil, Error.New("the permit is for %s, which gets no more work", granted.ID)
		}
		permit.Target = target
		return permit, nil, nil
	case kindBusy:
		return nil, nil, nil
	case kindRefused:
		var refused refuseMessage
		if err := codec.Unmarshal(reply.Head, &refused); err != nil {
			return nil, nil, Error.New("decode refusal: %w", err)
		}
		return nil, &admit.Refusal{Reason: refused.Reason, RetryAfter: refused.RetryAfter}, nil
	default:
		return nil, nil, Error.New("the primary answered %q", reply.Kind)
	}
}

// Done gives the permit back and notes how the request ended.
func (permit *Permit) Done(result admit.Result, load *admit.Load) {
	desk := permit.desk
	if result == admit.ResultMisplaced && permit.ask.Keyed {
		desk.local.Misplaced(permit.ask, permit.Target.Owner)
	}
	if permit.ticket != nil {
		permit.ticket.Done(result, load)
		return
	}
	if result == admit.ResultFailed {
		desk.local.Failed(permit.Target.Owner, permit.ask.Service)
	}
	if result == admit.ResultAnswered {
		desk.local.Learn(permit.Target.Owner, permit.ask.Service, desk.clock.Now().Sub(permit.began), load)
	}
	go permit.giveBack(result, load)
}

// giveBack tells the primary. A permit that is lost on the way is taken back by
// its deadline.
func (permit *Permit) giveBack(result admit.Result, load *admit.Load) {
	permit.desk.returnPermit(permit.primary, doneMessage{Number: permit.number, Result: result, Load: encodeLoad(load)})
}

// returnPermit gives a permit back to its primary.
func (desk *Desk) returnPermit(entry state.Entry, message doneMessage) {
	request, err := payload(kindDone, message)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		defer cancel()
		_, err = desk.call(ctx, entry, request)
	}
	if err != nil {
		desk.log.WithError(err).WithField("primary", entry.Name).Warn(logPrefix + "a permit could not be given back")
	}
}
