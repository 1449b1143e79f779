package permit

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	// holderSilence is how long nothing is received from a host before it is taken for lost.
	// The link of a host that was killed may end only then.
	holderSilence = 3 * time.Second
	// holderGrace is how long a lost host's permits are kept, in case it reconnects.
	holderGrace = time.Second
)

// holder is a host that holds permits of this primary.
type holder struct {
	// link is the latest connection on which the host sent a message.
	link links.Link
	// lostAt is since when the host is lost, the zero time while it is not.
	lostAt time.Time
	// permits counts those that it holds or waits for.
	permits int
}

// isLost reports whether the host's permits are to be revoked.
func (holder *holder) isLost(now time.Time) bool {
	if holder.link == nil || !holder.link.Ended() && now.Sub(holder.link.HeardAt()) <= holderSilence {
		holder.lostAt = time.Time{}
		return false
	}
	if holder.lostAt.IsZero() {
		holder.lostAt = now
	}
	return now.Sub(holder.lostAt) >= holderGrace
}

// recordHolder records on which connection a host sent a message. The primary's mutex must
// be held.
func (primary *Primary) recordHolder(host string, link links.Link) {
	if holder := primary.holders[host]; holder != nil && link != nil {
		holder.link = link
	}
}

// store stores a permit. The primary's mutex must be held.
func (primary *Primary) store(number uint64, lease *lease) {
	primary.leases[number] = lease
	if primary.holders[lease.host] == nil {
		primary.holders[lease.host] = &holder{}
	}
	primary.holders[lease.host].permits++
}

// take removes a permit and returns it, nil if there is none with the number. The primary's
// mutex must be held.
func (primary *Primary) take(number uint64) *lease {
	lease, ok := primary.leases[number]
	if !ok {
		return nil
	}
	delete(primary.leases, number)
	holder := primary.holders[lease.host]
	if holder.permits--; holder.permits == 0 {
		delete(primary.holders, lease.host)
	}
	return lease
}

// sweep revokes the permits that have expired and those of lost hosts, at most once per
// sweepInterval. The primary's mutex must be held.
func (primary *Primary) sweep(now time.Time) {
	if now.Sub(primary.sweptAt) <= sweepInterval {
		return
	}
	primary.sweptAt = now
	lost := map[string]int{}
	for host, holder := range primary.holders {
		if holder.isLost(now) {
			lost[host] = holder.permits
		}
	}
	for number, lease := range primary.leases {
		if _, isLost := lost[lease.host]; isLost || now.After(lease.expiresAt) {
			primary.take(number)
			go lease.release()
		}
	}
	for host, permits := range lost {
		countEvent(primary.Stats, "holderLost")
		primary.log.WithField("host", host).WithField("permits", permits).Info(logPrefix + "the permits of a lost host are free again")
	}
}
