package permit

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

const (
	// maxLocalWait is the expected wait in the host's own data centre above which
	// other data centres are asked, since answers from there are expensive. Where the leader
	// says what leaving costs, that is the bound if it is higher.
	maxLocalWait = 40 * time.Millisecond
	// maxLocalGroups and maxRemoteDataCentres bound the groups of the host's own data centre
	// and the other data centres that are asked for one request.
	maxLocalGroups       = 2
	maxRemoteDataCentres = 2
	// maxTimeouts is the number of late primaries after which a request asks no more.
	maxTimeouts = 2
	// busyDuration is how long a place in another data centre that has no permit without a
	// wait is not asked for one.
	busyDuration = 200 * time.Millisecond
)

// place is a group of a service's upstreams in a data centre, with a primary of its own.
type place struct {
	service    string
	dataCentre string
	group      admit.Group
}

// subject is what the primary of the place is chosen by. A single group has the same
// primary as in the previous version.
func (place place) subject() string {
	if place.group.Of <= 1 {
		return place.service
	}
	return fmt.Sprint(place.service, "#", place.group.Number)
}

// pickGroups returns up to count groups of a service in a data centre, each selected at
// random in proportion to its slots.
func (client *Client) pickGroups(service, dataCentre string, count int) []place {
	slots := client.local.Groups(service, dataCentre)
	if len(slots) <= 1 {
		return []place{{service: service, dataCentre: dataCentre}}
	}
	total := 0
	for _, count := range slots {
		total += count
	}
	var places []place
	for total > 0 && len(places) < count {
		point := rand.IntN(total) //nolint:gosec // load balancing needs no secure randomness
		for number, share := range slots {
			candidate := place{service: service, dataCentre: dataCentre, group: admit.Group{Number: number, Of: len(slots)}}
			if slices.Contains(places, candidate) {
				continue
			}
			if point -= share; point < 0 {
				places = append(places, candidate)
				total -= share
				break
			}
		}
	}
	return places
}

// unkeyedRequest is a request without a key that looks for a permit.
type unkeyedRequest struct {
	client *Client
	job    admit.Job
	// firstWait is the expected wait in the first data centre above which others are asked.
	firstWait time.Duration
	// timeouts counts the primaries that did not reply in time.
	timeouts int
}

// acquireUnkeyed acquires a permit for a request without a key. It asks groups of the host's
// own data centre first and, if the wait there would be long, the others for a
// permit without a wait. If there is none, the request is queued in the first group
// that accepts it, the host's own data centre before the others.
func (client *Client) acquireUnkeyed(ctx context.Context, job admit.Job) (*Permit, *admit.Refusal) {
	if _, refusal := client.local.AwaitRest(ctx, job, nil); refusal != nil {
		return nil, refusal
	}
	job.Avoid = client.local.Unwanted(job.Service)
	dataCentres := client.local.DataCentres(job.Service)
	slices.SortFunc(dataCentres, func(left, right string) int { return cmp.Compare(client.rank(left), client.rank(right)) })
	firstWait := maxLocalWait
	if client.Spill != nil {
		firstWait = max(firstWait, client.Spill(job.Service, dataCentres).Wait)
	}
	var first, others []place
	for position, dataCentre := range dataCentres {
		if position == 0 {
			first = client.pickGroups(job.Service, dataCentre, maxLocalGroups)
		} else {
			others = append(others, client.pickGroups(job.Service, dataCentre, 1)...)
		}
	}
	request := &unkeyedRequest{client: client, job: job, firstWait: firstWait}
	if permit := request.tryAll(ctx, first, others); permit != nil {
		return permit, nil
	}
	var refusal *admit.Refusal
	for _, place := range append(first, others...) {
		if ctx.Err() != nil || request.timeouts >= maxTimeouts {
			break
		}
		var permit *Permit
		permit, refused := request.ask(ctx, place, job.Deadline.Sub(client.clock.Now()))
		if permit != nil {
			return permit, nil
		}
		if refused != nil && refused.Reason != admit.ReasonNoUpstream {
			if refusal = refused; place.group.Of <= 1 || place != first[0] {
				break
			}
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	return client.acquireOwn(ctx, job)
}

// tryAll asks the groups of the first data centre for a permit with a short wait, and up to
// maxRemoteDataCentres others for one without a wait. If no other one has any, the request
// may as well be queued at once.
func (unkeyedrequest *unkeyedRequest) tryAll(ctx context.Context, first, others []place) *Permit {
	others = slices.DeleteFunc(slices.Clone(others), unkeyedrequest.client.isBusy)
	others = others[:min(len(others), maxRemoteDataCentres)]
	if len(others) == 0 && len(first) <= 1 {
		return nil
	}
	for _, place := range append(slices.Clone(first), others...) {
		if ctx.Err() != nil || unkeyedrequest.timeouts >= maxTimeouts {
			return nil
		}
		maxWait := time.Duration(0)
		if place.dataCentre == first[0].dataCentre {
			maxWait = unkeyedrequest.firstWait
		}
		permit, refusal := unkeyedrequest.ask(ctx, place, maxWait)
		if permit != nil {
			return permit
		}
		if maxWait == 0 && (refusal == nil || refusal.Reason != admit.ReasonCallerLeft) {
			unkeyedrequest.client.recordBusy(place)
		}
	}
	return nil
}

// ask requests a permit for any upstream of a place. It returns neither a permit nor a
// refusal if the expected wait there exceeds maxWait, or if its primary is late.
func (unkeyedrequest *unkeyedRequest) ask(ctx context.Context, place place, maxWait time.Duration) (*Permit, *admit.Refusal) {
	client, job := unkeyedrequest.client, unkeyedrequest.job
	entry, found := client.choose(place.subject(), place.dataCentre)
	if !found || !client.mayAsk(entry) {
		return nil, nil
	}
	job.DataCentre, job.Group = place.dataCentre, place.group
	if maxWait > 0 {
		maxWait = min(maxWait, job.Deadline.Sub(client.clock.Now()))
	}
	permit, refusal, err := client.requestPermit(ctx, entry, job, maxWait, nil)
	var stale staleError
	if errors.As(err, &stale) {
		unkeyedrequest.job.Avoid = append(slices.Clone(unkeyedrequest.job.Avoid), stale.owner)
	}
	if client.handleFailure(ctx, entry, err) {
		unkeyedrequest.timeouts++
	}
	return permit, refusal
}

// isBusy reports whether a place had no permit without a wait a short time ago.
func (client *Client) isBusy(place place) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.clock.Now().Before(client.busyUntil[place])
}

func (client *Client) recordBusy(place place) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.busyUntil[place] = client.clock.Now().Add(busyDuration)
}

// rank orders data centres: the host's own first, the others in a pseudo-random
// order that differs between hosts.
func (client *Client) rank(other string) uint64 {
	if other == client.dataCentre {
		return 0
	}
	return 1 + xxhash.Sum64String(client.self+other)>>1
}

// groupSubject is the subject by which the primary of an upstream's group is chosen.
func (client *Client) groupSubject(target admit.Target) string {
	return place{service: target.Service, group: client.local.GroupOf(target)}.subject()
}
