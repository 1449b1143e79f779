package shard

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	// GrantTTL is how long an upstream may serve its keys after the stamp that
	// a grant is based on.
	GrantTTL = 600 * time.Millisecond
	// GrantInterval is the time between renewals.
	GrantInterval = 100 * time.Millisecond
	grantTimeout  = 200 * time.Millisecond
	// lostFailures is the number of grants in a row that must have failed before
	// an upstream is given up, so that a pause of the primary itself is not
	// taken for the upstream's loss.
	lostFailures = 2
	// grantMargin is what the primary waits beyond the TTL, for clocks that run
	// at different speeds.
	grantMargin = 20 * time.Millisecond
	// sendMargin is the part of a grant's life in which nothing is sent any
	// more, so that a request does not arrive after the grant's end.
	sendMargin     = 50 * time.Millisecond
	proposeTimeout = time.Second
)

// grants is what a primary knows of an upstream's grants.
type grants struct {
	// basis is the latest stamp, got by a message that left at basisSentAt and
	// was answered at basisAt.
	basis       int64
	basisSentAt time.Time
	basisAt     time.Time
	// until is when no grant that was ever sent can still be in force.
	until time.Time
	// confirmed is when the latest accepted grant ends.
	confirmed time.Time
	// held lists the slots that the upstream confirmed, by revision.
	held     map[state.Slot]uint64
	revision uint64
	pending  bool
	sentAt   time.Time
	losing   bool
	failures int
	// seenAt is when the primary began to look after the upstream.
	seenAt time.Time
	// notBefore is when the grants of an earlier process have ended.
	notBefore time.Time
	// urgent asks for a renewal at once.
	urgent bool
}

// alive tells whether the upstream has confirmed a grant that still holds.
func (target *target) alive(now time.Time) bool {
	return now.Add(sendMargin).Before(target.grants.confirmed)
}

// holds tells whether the upstream has confirmed the slot under the token.
func (target *target) holds(slot state.Slot, token uint64, now time.Time) bool {
	return target.alive(now) && target.grants.held[slot] == token
}

// renewGrants sends grants that are due and reports upstreams that no grant
// reaches any more.
func (shard *Shard) renewGrants(now time.Time) {
	if !shard.mine() {
		return
	}
	for _, target := range shard.sortedTargets() {
		grants := &target.grants
		due := grants.urgent || now.Sub(grants.sentAt) >= GrantInterval
		if due && !grants.pending {
			shard.sendGrant(target, now)
		}
		shard.reportLost(target, now)
	}
}

// sendGrant renews the grant for the slots that the upstream owns and that are
// not being taken from it.
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
		grants.until = grants.basisAt.Add(GrantTTL + grantMargin)
	}
	grants.pending = true
	grants.urgent = false
	grants.sentAt = now
	go func() {
		ctx, cancel := context.WithTimeout(shard.ctx, grantTimeout)
		defer cancel()
		ack, err := shard.env.Upstreams.Grant(ctx, target.upstream.Address, grant)
		shard.post(grantMessage{target: target, grant: grant, sentAt: now, ack: ack, err: err})
	}()
}

// post sends the loop a message unless it has ended.
func (shard *Shard) post(message message) {
	select {
	case shard.inbox <- message:
	case <-shard.done:
	}
}

// slotsFor lists what an upstream may serve, the keys in it that it may not,
// and a revision that names both. A slot that is moving away is kept only while
// a request for it runs.
func (shard *Shard) slotsFor(target *target) (slots []upstr.GrantedSlot, excluded []string, revision uint64) {
	table := shard.env.Catalog().Tables[shard.service]
	name := target.upstream.ID.Name
	revision = shard.epoch
	add := func(slot state.Slot, owner state.Owner) bool {
		if owner.Upstream != name || owner.MovingTo != "" && !shard.busy(slot) {
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
			revision += slotDigest(upstr.GrantedSlot{Partition: excludedMark, Key: key})
		}
	}
	return slots, excluded, revision
}

// excludedMark stands in a digest for a key that is excluded.
const excludedMark = -1

// slotDigest is a slot's part of a revision. Revisions add digests up, so that
// the order of slots does not matter.
func slotDigest(slot upstr.GrantedSlot) uint64 {
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:], uint64(slot.Partition))
	binary.BigEndian.PutUint64(numbers[8:], slot.Token)
	return xxhash.Sum64(append(numbers[:], slot.Key...))
}

// busy tells whether a request is running whose key is in the slot now, or was
// when it was sent: a key may have got a slot of its own meanwhile.
func (shard *Shard) busy(slot state.Slot) bool {
	table := shard.env.Catalog().Tables[shard.service]
	for run := range shard.running {
		present, _ := table.Find(run.request.Key)
		if run.open > 0 && (run.slot == slot || present == slot) {
			return true
		}
	}
	return false
}

// granted notes an upstream's answer to a grant.
func (shard *Shard) granted(message grantMessage) {
	grants := &message.target.grants
	grants.pending = false
	if message.err != nil || message.ack.Epoch > shard.epoch {
		grants.failures++
		return
	}
	grants.failures = 0
	now := shard.env.Clock.Now()
	if message.ack.Incarnation != "" && message.ack.Incarnation != message.target.upstream.Incarnation {
		// Another process listens at the address; it will announce itself.
		return
	}
	if grants.basis == 0 {
		shard.env.Log.Debugf(logPrefix+"upstream %s answers grants", message.target.upstream.ID)
	}
	usedBasisSentAt := grants.basisSentAt
	grants.basis = message.ack.Stamp
	grants.basisSentAt = message.sentAt
	grants.basisAt = now
	switch {
	case message.grant.Basis == 0:
		grants.urgent = true
	case message.ack.Revision != message.grant.Revision:
		grants.revision = 0
		grants.urgent = true
	default:
		shard.confirm(message, usedBasisSentAt.Add(GrantTTL))
	}
}

// confirm notes a grant that is in force until the given time at least.
func (shard *Shard) confirm(message grantMessage, until time.Time) {
	grants := &message.target.grants
	grants.revision = message.grant.Revision
	grants.confirmed = until
	if message.grant.Full {
		grants.held = map[state.Slot]uint64{}
		for _, slot := range message.grant.Slots {
			grants.held[state.Slot{Partition: slot.Partition, Key: slot.Key}] = slot.Token
		}
	}
	if _, _, current := shard.slotsFor(message.target); current == message.grant.Revision {
		shard.releaseSlots(message.target)
		return
	}
	grants.urgent = true
}

// reportLost proposes to take out an upstream whose grants have all ended.
func (shard *Shard) reportLost(target *target, now time.Time) {
	grants := &target.grants
	end := grants.until
	if end.IsZero() {
		// No grant was sent by this primary; an earlier one's may be in force.
		end = later(grants.firstSeen(now), grants.notBefore).Add(GrantTTL + grantMargin)
	}
	if grants.losing || grants.failures < lostFailures || now.Before(end) || target.alive(now) {
		return
	}
	grants.losing = true
	shard.env.Log.Warnf(logPrefix+"upstream %s no longer answers", target.upstream.ID)
	shard.env.Stats.Event("upstreamLost", "silent")
	command := state.LoseUpstream{
		ID: target.upstream.ID, Epoch: target.upstream.Epoch, Shard: shard.id, ShardEpoch: shard.epoch,
		Reason: string(calls.ReasonUpstreamLost), At: now,
	}
	go shard.proposeUntilDone(command)
}

// firstSeen returns when the primary began to look after the upstream.
func (grants *grants) firstSeen(now time.Time) time.Time {
	if grants.seenAt.IsZero() {
		grants.seenAt = now
	}
	return grants.seenAt
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// proposeUntilDone commits a command that must not get lost.
func (shard *Shard) proposeUntilDone(command state.Command) bool {
	_, done := shard.resultOf(command)
	return done
}

// resultOf commits a command that must not get lost and returns its result, or
// false if the task ended first.
func (shard *Shard) resultOf(command state.Command) (state.Result, bool) {
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

// releaseSlots gives up the slots that are moving away, once the upstream has
// confirmed that it no longer has them.
func (shard *Shard) releaseSlots(target *target) {
	table := shard.env.Catalog().Tables[shard.service]
	var releases []state.SlotRelease
	consider := func(slot state.Slot, owner state.Owner) {
		if owner.Upstream != target.upstream.ID.Name || owner.MovingTo == "" || shard.busy(slot) {
			return
		}
		if _, held := target.grants.held[slot]; held {
			target.grants.urgent = true
			return
		}
		releases = append(releases, state.SlotRelease{Slot: slot, Token: owner.Token})
	}
	for partition, owner := range table.Partitions {
		consider(state.Slot{Partition: partition}, owner)
	}
	for key, owner := range table.Keys {
		consider(state.Slot{Key: key}, owner)
	}
	if len(releases) == 0 || target.releaseOpen {
		return
	}
	target.releaseOpen = true
	shard.env.Stats.Moved("slot", len(releases))
	command := state.ReleaseSlots{Service: shard.service, Shard: shard.id, ShardEpoch: shard.epoch, Releases: releases}
	go func() {
		shard.proposeUntilDone(command)
		shard.post(slotsReleased{target: target})
	}()
}
