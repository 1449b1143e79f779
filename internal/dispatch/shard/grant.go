package shard

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	// GrantTTL is how long an upstream may serve its keys, counted from the stamp
	// that a grant is based on.
	GrantTTL = 600 * time.Millisecond
	// GrantInterval is the time between two renewals of a grant.
	GrantInterval = 100 * time.Millisecond
	grantTimeout  = 200 * time.Millisecond
	// minLossFailures is the number of consecutive grants that must fail before
	// an upstream is reported lost, so that a pause of the primary itself is not
	// mistaken for the loss of the upstream.
	minLossFailures = 2
	// grantMargin is added to the TTL on the primary's side to allow for clock
	// drift.
	grantMargin = 20 * time.Millisecond
	// sendMargin is the time before a grant's expiry from which no more requests are
	// sent, so that none arrives after the expiry.
	sendMargin     = 50 * time.Millisecond
	proposeTimeout = time.Second
)

// grants tracks the grants that the primary sends to one upstream.
type grants struct {
	// basis is the upstream's latest stamp, from the answer to a grant that was
	// sent at basisSentAt and answered at basisAt.
	basis       int64
	basisSentAt time.Time
	basisAt     time.Time
	// latestExpiry is the time by which every grant sent so far has expired.
	latestExpiry time.Time
	// confirmedUntil is the expiry of the latest grant that the upstream accepted.
	// Attempts read it too.
	confirmedUntil sharedTime
	// confirmedSlots maps the slots that the upstream has confirmed to their
	// fencing tokens.
	confirmedSlots map[state.Slot]uint64
	revision       uint64
	pending        bool
	sentAt         time.Time
	lossReported   bool
	failures       int
	// trackedSince is when the primary started to track the upstream.
	trackedSince time.Time
	// notBefore is when the grants of an earlier process at another address have
	// expired; grants sent before then have no TTL.
	notBefore time.Time
	// renewNow requests an immediate renewal.
	renewNow bool
}

// sharedTime is a time that the loop sets and other goroutines may read. It is zero
// at first.
type sharedTime struct{ value atomic.Pointer[time.Time] }

func (sharedtime *sharedTime) set(value time.Time) { sharedtime.value.Store(&value) }

func (sharedtime *sharedTime) get() time.Time {
	if value := sharedtime.value.Load(); value != nil {
		return *value
	}
	return time.Time{}
}

// hasGrant reports whether the upstream has confirmed a grant that does not
// expire within sendMargin. It may be called by any goroutine.
func (target *target) hasGrant(now time.Time) bool {
	return now.Add(sendMargin).Before(target.grants.confirmedUntil.get())
}

// hasSlot reports whether the upstream has a grant and has confirmed the slot with
// this fencing token.
func (target *target) hasSlot(slot state.Slot, token uint64, now time.Time) bool {
	return target.hasGrant(now) && target.grants.confirmedSlots[slot] == token
}

// renewGrants sends the grants that are due and reports upstreams that no longer
// answer them.
func (shard *Shard) renewGrants(now time.Time) {
	if !shard.isPrimary() {
		return
	}
	for _, target := range shard.sortedTargets() {
		grants := &target.grants
		due := grants.renewNow || now.Sub(grants.sentAt) >= GrantInterval
		// A reported loss gives the upstream's keys away whenever it is committed, so
		// nothing is granted any more. If the upstream is still there, it is entered
		// again as a new target.
		if due && !grants.pending && !grants.lossReported {
			shard.sendGrant(target, now)
		}
		shard.reportLost(target, now)
	}
}

// sendGrant renews the upstream's grant for the slots that slotsFor lists.
func (shard *Shard) sendGrant(target *target, now time.Time) {
	grants := &target.grants
	slots, excluded, revision := shard.slotsFor(target)
	grant := upstr.Grant{
		Service: shard.service, Upstream: target.upstream.ID.Name, Epoch: shard.epoch,
		Partitions: len(shard.env.Catalog().Tables[shard.service].Partitions),
		Revision:   revision, Slots: slots, Excluded: excluded, Full: revision != grants.revision,
	}
	if !grant.Full {
		grant.Slots = nil
		grant.Excluded = nil
	}
	if grants.basis != 0 && !now.Before(grants.notBefore) {
		grant.Basis = grants.basis
		grant.TTLMillis = GrantTTL.Milliseconds()
		grants.latestExpiry = grants.basisAt.Add(GrantTTL + grantMargin)
	}
	grants.pending = true
	grants.renewNow = false
	grants.sentAt = now
	go func() {
		ctx, cancel := context.WithTimeout(shard.ctx, grantTimeout)
		defer cancel()
		ack, err := shard.env.Upstreams.Grant(ctx, target.upstream.Address, grant)
		shard.post(grantMessage{target: target, grant: grant, sentAt: now, ack: ack, err: err})
	}()
}

// post sends a message to the loop, unless the loop has ended.
func (shard *Shard) post(message message) {
	select {
	case shard.inbox <- message:
	case <-shard.done:
	}
}

// slotsFor returns the slots that an upstream may serve, the keys within them
// that it may not serve, and a revision that identifies both. A slot that is
// moving away is included only while a request for it is running.
func (shard *Shard) slotsFor(target *target) (slots []upstr.GrantedSlot, excluded []string, revision uint64) {
	table := shard.env.Catalog().Tables[shard.service]
	name := target.upstream.ID.Name
	revision = shard.epoch
	add := func(slot state.Slot, owner state.Owner) bool {
		if owner.Upstream != name || owner.MovingTo != "" && !shard.hasRunningRequest(slot) {
			return false
		}
		granted := upstr.GrantedSlot{Partition: slot.Partition, Key: slot.Key, Token: owner.Token}
		slots = append(slots, granted)
		revision += slotDigest(granted)
		return true
	}
	for partition, owner := range table.Partitions {
		add(state.Slot{Partition: partition}, owner)
	}
	for key, owner := range table.Keys {
		partition := state.PartitionOf(key, len(table.Partitions))
		if !add(state.Slot{Key: key}, owner) && table.Partitions[partition].Upstream == name {
			excluded = append(excluded, key)
			revision += slotDigest(upstr.GrantedSlot{Partition: excludedPartition, Key: key})
		}
	}
	return slots, excluded, revision
}

// excludedPartition marks an excluded key in a digest.
const excludedPartition = -1

// slotDigest returns a slot's contribution to a revision. A revision is the sum of
// the digests, so the order of the slots does not matter.
func slotDigest(slot upstr.GrantedSlot) uint64 {
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:], uint64(slot.Partition))
	binary.BigEndian.PutUint64(numbers[8:], slot.Token)
	return xxhash.Sum64(append(numbers[:], slot.Key...))
}

// hasRunningRequest reports whether a request is running whose key belongs to the
// slot now, or did when the request was sent: the key may have got a slot of its
// own since then.
func (shard *Shard) hasRunningRequest(slot state.Slot) bool {
	table := shard.env.Catalog().Tables[shard.service]
	for job := range shard.running {
		current, _ := table.Find(job.request.Key)
		if job.inFlight > 0 && (job.slot == slot || current == slot) {
			return true
		}
	}
	return false
}

// handleGrantAck processes an upstream's answer to a grant.
func (shard *Shard) handleGrantAck(message grantMessage) {
	grants := &message.target.grants
	grants.pending = false
	if message.err != nil || message.ack.Epoch > shard.epoch {
		grants.failures++
		return
	}
	grants.failures = 0
	now := shard.env.Clock.Now()
	if message.ack.Incarnation != "" && message.ack.Incarnation != message.target.upstream.Incarnation {
		// Another process now listens at the address; it will announce itself. Its clock
		// has other stamps, so until then it is asked for one and granted nothing.
		grants.basis = 0
		return
	}
	if grants.basis == 0 {
		shard.env.Log.Debugf(logPrefix+"upstream %s acknowledged its first grant", message.target.upstream.ID)
	}
	usedBasisSentAt := grants.basisSentAt
	grants.basis = message.ack.Stamp
	grants.basisSentAt = message.sentAt
	grants.basisAt = now
	switch {
	case message.grant.Basis == 0:
		grants.renewNow = true
	case message.ack.Revision != message.grant.Revision:
		grants.revision = 0
		grants.renewNow = true
	default:
		shard.confirmGrant(message, usedBasisSentAt.Add(GrantTTL))
	}
}

// confirmGrant records an accepted grant that is valid until at least the given
// time.
func (shard *Shard) confirmGrant(message grantMessage, until time.Time) {
	grants := &message.target.grants
	grants.revision = message.grant.Revision
	grants.confirmedUntil.set(until)
	if message.grant.Full {
		grants.confirmedSlots = map[state.Slot]uint64{}
		for _, slot := range message.grant.Slots {
			grants.confirmedSlots[state.Slot{Partition: slot.Partition, Key: slot.Key}] = slot.Token
		}
	}
	if _, _, current := shard.slotsFor(message.target); current == message.grant.Revision {
		shard.releaseSlots(message.target)
		return
	}
	grants.renewNow = true
}

// reportLost proposes to remove an upstream that fails to answer and whose grants
// have all expired.
func (shard *Shard) reportLost(target *target, now time.Time) {
	grants := &target.grants
	end := grants.latestExpiry
	if end.IsZero() {
		// This primary has not sent a grant, but one from an earlier primary may
		// still be valid.
		end = later(grants.trackingStart(now), grants.notBefore).Add(GrantTTL + grantMargin)
	}
	if grants.lossReported || grants.failures < minLossFailures || now.Before(end) || target.hasGrant(now) {
		return
	}
	grants.lossReported = true
	shard.env.Log.Warnf(logPrefix+"upstream %s does not answer grants and its grants have expired, reporting it lost", target.upstream.ID)
	shard.env.Stats.Event("upstreamLost", "silent")
	command := state.RemoveUpstream{
		ID: target.upstream.ID, Epoch: target.upstream.Epoch, Shard: shard.id, ShardEpoch: shard.epoch,
		Reason: string(calls.ReasonUpstreamLost), At: now,
	}
	go shard.proposeWithRetry(command)
}

// trackingStart returns when the primary started to track the upstream, and sets
// it to now on the first call.
func (grants *grants) trackingStart(now time.Time) time.Time {
	if grants.trackedSince.IsZero() {
		grants.trackedSince = now
	}
	return grants.trackedSince
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// proposeWithRetry retries until the command is committed. It returns false if
// the shard ended first.
func (shard *Shard) proposeWithRetry(command state.Command) bool {
	_, done := shard.proposeForResult(command)
	return done
}

// proposeForResult retries until the command is committed and returns its result,
// or false if the shard ended first.
func (shard *Shard) proposeForResult(command state.Command) (state.Result, bool) {
	for shard.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(shard.ctx, proposeTimeout)
		result, err := shard.env.Control.Propose(ctx, command)
		cancel()
		if err == nil {
			return result, true
		}
	}
	return state.Result{}, false
}

// releaseSlots releases the slots that are moving away, once the upstream has
// confirmed a grant without them.
func (shard *Shard) releaseSlots(target *target) {
	table := shard.env.Catalog().Tables[shard.service]
	var releases []state.SlotRelease
	addReleasable := func(slot state.Slot, owner state.Owner) {
		if owner.Upstream != target.upstream.ID.Name || owner.MovingTo == "" || shard.hasRunningRequest(slot) {
			return
		}
		if _, confirmed := target.grants.confirmedSlots[slot]; confirmed {
			target.grants.renewNow = true
			return
		}
		releases = append(releases, state.SlotRelease{Slot: slot, Token: owner.Token})
	}
	for partition, owner := range table.Partitions {
		addReleasable(state.Slot{Partition: partition}, owner)
	}
	for key, owner := range table.Keys {
		addReleasable(state.Slot{Key: key}, owner)
	}
	if len(releases) == 0 || target.releasePending {
		return
	}
	target.releasePending = true
	shard.env.Stats.Moved("slot", len(releases))
	command := state.ReleaseSlots{Service: shard.service, Shard: shard.id, ShardEpoch: shard.epoch, Releases: releases}
	go func() {
		shard.proposeWithRetry(command)
		shard.post(slotsReleasedMessage{target: target})
	}()
}
