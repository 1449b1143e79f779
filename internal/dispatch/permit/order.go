package permit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

// limitShares are the parts of an upstream's rate limit that its primary and the hosts
// after it in order may admit. The other hosts may admit nothing.
var limitShares = [...]float64{1, 0.25, 0.125}

// primary returns the host that grants the permits for a subject, which is an
// upstream or a service. It is chosen by rendezvous hashing among the hosts of the
// data centre or, if none is usable there, among all hosts other than the exceptions.
func (client *Client) primary(subject, dataCentre string, except ...string) (state.Entry, bool) {
	return client.primaryOf(subject, dataCentre, true, except)
}

// primaryOf is primary with the choice whether suspected hosts count as usable.
func (client *Client) primaryOf(subject, dataCentre string, unsuspected bool, except []string) (state.Entry, bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	var best state.Entry
	found, foundLocal := false, false
	for _, entry := range client.entries {
		if !eligible(entry) || slices.Contains(except, entry.Name) {
			continue
		}
		if health := client.health[entry.Name]; unsuspected && health != nil && now.Before(health.suspectUntil) {
			continue
		}
		local := entry.DataCentre == dataCentre
		if foundLocal && !local {
			continue
		}
		if !found || local && !foundLocal || client.order(subject, entry, best) < 0 {
			best, found, foundLocal = entry, true, local
		}
	}
	return best, found
}

// Others returns the other entry hosts, in the order in which they should send a request
// in this host's place: first the one given, which is known to be alive, then those in the
// upstream's data centre, those in this host's, and all others.
func (client *Client) Others(target admit.Target, first string) []state.Entry {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	others := slices.DeleteFunc(slices.Clone(client.entries), func(entry state.Entry) bool {
		return entry.Name == client.self || !eligible(entry)
	})
	distance := func(entry state.Entry) int {
		switch {
		case entry.Name == first:
			return 0
		case entry.DataCentre == target.DataCentre:
			return 1
		case entry.DataCentre == client.dataCentre:
			return 2
		default:
			return 3
		}
	}
	slices.SortFunc(others, func(left, right state.Entry) int {
		return cmp.Or(cmp.Compare(distance(left), distance(right)),
			client.order(target.Owner.ID, left, right))
	})
	return others
}

// eligible reports whether an entry host may be a primary.
func eligible(entry state.Entry) bool { return !entry.Draining && entry.Peer.IsValid() }

// order compares two entry hosts as the primary of a subject, the better one first. It is
// rendezvous hashing: each host is first for a part of the subjects in proportion to its
// link, as a primary's link carries all permit requests. Hosts with the same link have the
// same order as without links. The client's mutex must be held.
func (client *Client) order(subject string, left, right state.Entry) int {
	leftHash, rightHash := xxhash.Sum64String(subject+"/"+left.Name), xxhash.Sum64String(subject+"/"+right.Name)
	if !client.weighted || left.Link == right.Link {
		return cmp.Compare(rightHash, leftHash)
	}
	return cmp.Compare(weightedScore(rightHash, right.Link), weightedScore(leftHash, left.Link))
}

// weightedScore is the logarithm of the hash as a fraction, divided by the weight. The host
// with the highest score is found with a probability in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	return math.Log((float64(hash)+1)/(math.MaxUint64+2)) / weight
}

// LimitShare returns the part of an upstream's rate limit that this host may admit, by
// its place in the order in which hosts are asked for permits. Hosts that do not reach the
// primary ask the next ones, and don't agree on them, so that these have small parts: all
// parts together are one and a half limits.
func (client *Client) LimitShare(target admit.Target) float64 {
	subject := target.Owner.ID
	if !target.Keyed {
		subject = client.groupSubject(target)
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	position := slices.IndexFunc(client.entries, func(entry state.Entry) bool { return entry.Name == client.self })
	if position < 0 || !eligible(client.entries[position]) {
		return 0
	}
	own, before := client.entries[position], 0
	for _, entry := range client.entries {
		local, ownLocal := entry.DataCentre == target.DataCentre, own.DataCentre == target.DataCentre
		first := client.order(subject, entry, own) < 0
		if eligible(entry) && (local && !ownLocal || local == ownLocal && first) {
			before++
		}
	}
	if before < len(limitShares) {
		return limitShares[before]
	}
	return 0
}
