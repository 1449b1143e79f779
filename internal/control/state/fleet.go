package state

import (
	"maps"
	"slices"
	"time"
)

func (catalog *Catalog) openSession(index uint64, command OpenSession) {
	session := Session{Host: command.Host, Epoch: index}
	catalog.Sessions = with(catalog.Sessions, command.Host.Name, session)
}

// closeSession closes the session and frees its shards. It may be an earlier
// session than the host's current one.
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

// moveShards assigns shards without a holder and marks the others as moving.
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

// releaseShards assigns released shards to the hosts that they are moving to, and
// frees those without such a host. A release may be proposed twice, and by then the
// session may hold the shard anew under another epoch.
func (catalog *Catalog) releaseShards(index uint64, command ReleaseShards) {
	shards := maps.Clone(catalog.Shards)
	for _, id := range command.Shards {
		shard, ok := shards[id]
		if !ok || shard.Session != command.Session || command.Epoch != 0 && shard.Epoch != command.Epoch {
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

func (catalog *Catalog) registerUpstream(index uint64, command RegisterUpstream) {
	upstream := command.Upstream
	current, ok := catalog.Upstreams[upstream.ID]
	if ok && current.SameProcess(upstream) {
		return
	}
	upstream.Epoch = index
	catalog.Upstreams = with(catalog.Upstreams, upstream.ID, upstream)
}

func (catalog *Catalog) setUpstreamFull(command SetUpstreamFull) {
	upstream, ok := catalog.Upstreams[command.ID]
	if !ok || upstream.Epoch != command.Epoch {
		return
	}
	upstream.Full = command.Full
	catalog.Upstreams = with(catalog.Upstreams, command.ID, upstream)
}

// removeUpstream removes an upstream and frees its slots. Slots that were moving
// go to the upstream that they were moving to.
func (catalog *Catalog) removeUpstream(index uint64, command RemoveUpstream) Result {
	shard := catalog.Shards[command.Shard]
	upstream, ok := catalog.Upstreams[command.ID]
	if !ok || upstream.Epoch != command.Epoch || shard.Epoch != command.ShardEpoch || shard.Host == "" {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	catalog.Upstreams = without(catalog.Upstreams, command.ID)
	catalog.recordLoss(upstream, command.At)
	table, ok := catalog.Tables[command.ID.Service]
	if !ok {
		return Result{Index: index, Outcome: OutcomeDone}
	}
	table = table.clone()
	for partition, owner := range table.Partitions {
		if owner.Upstream == command.ID.Name {
			table.Partitions[partition] = catalog.nextOwner(index, command.ID.Service, owner)
		}
	}
	for key, owner := range table.Keys {
		if owner.Upstream == command.ID.Name {
			table.Keys[key] = catalog.nextOwner(index, command.ID.Service, owner)
		}
	}
	catalog.Tables = with(catalog.Tables, command.ID.Service, table)
	return Result{Index: index, Outcome: OutcomeDone}
}

// recordLoss counts the recent losses of an upstream.
func (catalog *Catalog) recordLoss(upstream Upstream, at time.Time) {
	loss := catalog.Losses[upstream.ID]
	if at.Sub(loss.At) > lossResetAfter {
		loss.Count = 0
	}
	loss = Loss{Incarnation: upstream.Incarnation, At: at, Count: loss.Count + 1}
	catalog.Losses = with(catalog.Losses, upstream.ID, loss)
}

// nextOwner returns the owner of a slot after the given one has released it or
// was lost. The token always increases, so that the old owner is fenced off.
func (catalog *Catalog) nextOwner(index uint64, service string, owner Owner) Owner {
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

// moveSlots assigns slots without an owner and marks the others as moving. A key
// that has no slot of its own is split off with its partition's owner, also if that is
// the upstream that it shall have.
func (catalog *Catalog) moveSlots(index uint64, command MoveSlots) {
	table, ok := catalog.Tables[command.Service]
	if !ok {
		return
	}
	table = table.clone()
	for _, move := range command.Moves {
		owner, ok := table.Get(move.Slot)
		split := !ok && move.Slot.Key != "" && move.Token == 0
		if split {
			_, owner = table.Find(move.Slot.Key)
			if owner.MovingTo != "" {
				continue
			}
			ok = true
		} else if owner.Token != move.Token {
			continue
		}
		_, exists := catalog.Upstreams[UpstreamID{Service: command.Service, Name: move.To}]
		switch {
		case !ok || !exists || owner.Upstream == move.To && !split:
		case owner.Upstream == "":
			table.set(move.Slot, Owner{Upstream: move.To, Token: index})
		case owner.Upstream == move.To:
			table.set(move.Slot, owner)
		default:
			owner.MovingTo = move.To
			table.set(move.Slot, owner)
		}
	}
	catalog.Tables = with(catalog.Tables, command.Service, table)
}

// releaseSlots assigns slots that their owner no longer serves to the next owner.
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
		table.set(release.Slot, catalog.nextOwner(index, command.Service, owner))
	}
	catalog.Tables = with(catalog.Tables, command.Service, table)
	return Result{Index: index, Outcome: OutcomeDone}
}
