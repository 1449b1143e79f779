package state

import (
	"maps"
	"slices"
	"time"
)

// quarantineAge is how long a suspect request is remembered.
const quarantineAge = time.Hour

func (catalog *Catalog) openSession(index uint64, command OpenSession) {
	session := Session{Host: command.Host, Epoch: index}
	catalog.Sessions = with(catalog.Sessions, command.Host.Name, session)
}

// closeSession frees the shards of the session, which may be an earlier one
// than the host's present session.
func (catalog *Catalog) closeSession(command CloseSession) {
	if catalog.Sessions[command.Host].Epoch == command.Epoch {
		catalog.Sessions = without(catalog.Sessions, command.Host)
	}
	shards := maps.Clone(catalog.Shards)
	for id, shard := range shards {
		if shard.Session == command.Epoch {
			shards[id] = Shard{Epoch: shard.Epoch}
		}
	}
	catalog.Shards = shards
}

func (catalog *Catalog) drainSession(command DrainSession) {
	session, ok := catalog.Sessions[command.Host]
	if !ok || session.Epoch != command.Epoch {
		return
	}
	session.Draining = true
	catalog.Sessions = with(catalog.Sessions, command.Host, session)
}

// moveShards gives shards without a holder away and marks others as moving.
func (catalog *Catalog) moveShards(index uint64, command MoveShards) {
	shards := maps.Clone(catalog.Shards)
	if shards == nil {
		shards = map[ShardID]Shard{}
	}
	for _, move := range command.Moves {
		shard := shards[move.Shard]
		session, live := catalog.Sessions[move.Host]
		if shard.Epoch != move.Epoch || !live {
			continue
		}
		if shard.Host == "" {
			shards[move.Shard] = Shard{Host: move.Host, Session: session.Epoch, Epoch: index}
			continue
		}
		shard.MovingTo = move.Host
		shards[move.Shard] = shard
	}
	catalog.Shards = shards
}

// releaseShards passes shards on to the hosts that wait for them.
func (catalog *Catalog) releaseShards(index uint64, command ReleaseShards) {
	shards := maps.Clone(catalog.Shards)
	for _, id := range command.Shards {
		shard, ok := shards[id]
		if !ok || shard.Session != command.Session {
			continue
		}
		next := Shard{Epoch: index}
		if session, live := catalog.Sessions[shard.MovingTo]; live {
			next = Shard{Host: shard.MovingTo, Session: session.Epoch, Epoch: index}
		}
		shards[id] = next
	}
	catalog.Shards = shards
}

func (catalog *Catalog) removeShards(command RemoveShards) {
	for _, id := range command.Shards {
		if shard, ok := catalog.Shards[id]; ok && shard.Host == "" {
			catalog.Shards = without(catalog.Shards, id)
		}
	}
}

func (catalog *Catalog) seeUpstream(index uint64, command SeeUpstream) {
	upstream := command.Upstream
	present, ok := catalog.Upstreams[upstream.ID]
	if ok && present.Same(upstream) {
		return
	}
	upstream.Epoch = index
	catalog.Upstreams = with(catalog.Upstreams, upstream.ID, upstream)
}

func (catalog *Catalog) markUpstream(command MarkUpstream) {
	upstream, ok := catalog.Upstreams[command.ID]
	if !ok || upstream.Epoch != command.Epoch {
		return
	}
	upstream.Full = command.Full
	catalog.Upstreams = with(catalog.Upstreams, command.ID, upstream)
}

// loseUpstream frees the slots of an upstream, and gives those that were
// moving to the upstream they were moving to.
func (catalog *Catalog) loseUpstream(index uint64, command LoseUpstream) Result {
	shard := catalog.Shards[command.Shard]
	upstream, ok := catalog.Upstreams[command.ID]
	if !ok || upstream.Epoch != command.Epoch || shard.Epoch != command.ShardEpoch || shard.Host == "" {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	catalog.Upstreams = without(catalog.Upstreams, command.ID)
	catalog.noteLoss(upstream, command.At)
	table, ok := catalog.Tables[command.ID.Service]
	if !ok {
		return Result{Index: index, Outcome: OutcomeDone}
	}
	table = table.clone()
	for partition, owner := range table.Partitions {
		if owner.Upstream == command.ID.Name {
			table.Partitions[partition] = catalog.passOn(index, command.ID.Service, owner)
		}
	}
	for key, owner := range table.Keys {
		if owner.Upstream == command.ID.Name {
			table.Keys[key] = catalog.passOn(index, command.ID.Service, owner)
		}
	}
	catalog.Tables = with(catalog.Tables, command.ID.Service, table)
	return Result{Index: index, Outcome: OutcomeDone}
}

// noteLoss counts how often an upstream was lost lately.
func (catalog *Catalog) noteLoss(upstream Upstream, at time.Time) {
	loss := catalog.Losses[upstream.ID]
	if at.Sub(loss.At) > lossMemory {
		loss.Count = 0
	}
	loss = Loss{Incarnation: upstream.Incarnation, At: at, Count: loss.Count + 1}
	catalog.Losses = with(catalog.Losses, upstream.ID, loss)
}

// passOn returns the owner that follows one that let go. The token always
// grows, so that the old one is fenced off.
func (catalog *Catalog) passOn(index uint64, service string, owner Owner) Owner {
	id := UpstreamID{Service: service, Name: owner.MovingTo}
	if _, ok := catalog.Upstreams[id]; ok && owner.MovingTo != "" {
		return Owner{Upstream: owner.MovingTo, Token: index}
	}
	return Owner{Token: index}
}

func (table Table) clone() Table {
	keys := maps.Clone(table.Keys)
	if keys == nil {
		keys = map[string]Owner{}
	}
	return Table{Partitions: slices.Clone(table.Partitions), Keys: keys}
}

func (table Table) set(slot Slot, owner Owner) {
	if slot.Key != "" {
		table.Keys[slot.Key] = owner
		return
	}
	table.Partitions[slot.Partition] = owner
}

// moveSlots gives slots without an owner away and marks others as moving. A
// key that has no slot of its own is carved out with its partition's owner.
func (catalog *Catalog) moveSlots(index uint64, command MoveSlots) {
	table, ok := catalog.Tables[command.Service]
	if !ok {
		return
	}
	table = table.clone()
	for _, move := range command.Moves {
		owner, ok := table.Get(move.Slot)
		if !ok && move.Slot.Key != "" && move.Token == 0 {
			_, owner = table.Find(move.Slot.Key)
			if owner.MovingTo != "" {
				continue
			}
			ok = true
		} else if owner.Token != move.Token {
			continue
		}
		_, exists := catalog.Upstreams[UpstreamID{Service: command.Service, Name: move.To}]
		if !ok || !exists || owner.Upstream == move.To {
			continue
		}
		if owner.Upstream == "" {
			table.set(move.Slot, Owner{Upstream: move.To, Token: index})
			continue
		}
		owner.MovingTo = move.To
		table.set(move.Slot, owner)
	}
	catalog.Tables = with(catalog.Tables, command.Service, table)
}

// releaseSlots passes slots on whose owner has stopped serving them.
func (catalog *Catalog) releaseSlots(index uint64, command ReleaseSlots) Result {
	table, ok := catalog.Tables[command.Service]
	if !ok || catalog.Shards[command.Shard].Epoch != command.ShardEpoch {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	table = table.clone()
	for _, release := range command.Releases {
		owner, ok := table.Get(release.Slot)
		if !ok || owner.Token != release.Token || owner.MovingTo == "" {
			continue
		}
		table.set(release.Slot, catalog.passOn(index, command.Service, owner))
	}
	catalog.Tables = with(catalog.Tables, command.Service, table)
	return Result{Index: index, Outcome: OutcomeDone}
}
