package permit

import (
	"errors"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// suspectSilence is how long a primary replies to nothing before it is suspected. Links
	// that are congested deliver late replies earlier.
	suspectSilence = 600 * time.Millisecond
	// suspectDuration is how long the requests to a suspected primary go to the next host.
	suspectDuration = time.Second
	// lateReply is the estimated time to a reply from which a primary is asked less often.
	// Half of requestTimeout leaves room for the variation of reply times.
	lateReply = requestTimeout / 2
	// replyWeightTenths is the weight of the latest reply in the estimate, in tenths.
	replyWeightTenths = 3
	// estimateAge is how long the estimate of a primary that sends no replies is used.
	estimateAge = 2 * time.Second
	// tryEach is the part of the requests to a late or suspected primary that it still gets:
	// one of tryEach.
	tryEach = 8
	// formerDuration is how long a primary is taken for one of the previous version, after
	// it did not know a request.
	formerDuration = 10 * time.Second
)

// health is what a client knows of a primary.
type health struct {
	// suspectUntil is until when requests go to the next host.
	suspectUntil time.Time
	// unansweredSince is when the first request was not answered in time of those since the
	// latest reply.
	unansweredSince time.Time
	// replyTime is the estimated time to a reply, and estimatedAt when it was updated.
	replyTime   time.Duration
	estimatedAt time.Time
	// skipped counts the requests that were not sent to the primary because it is late, and
	// redirected those because it is suspected.
	skipped, redirected int
	// late is set while the primary is asked less because its replies are late.
	late        bool
	formerUntil time.Time
}

// healthOf returns the health of a primary. The client's mutex must be held.
func (client *Client) healthOf(entry state.Entry) *health {
	known, ok := client.health[entry.Name]
	if !ok {
		known = &health{}
		client.health[entry.Name] = known
	}
	return known
}

// estimate updates the estimate of the time to a reply.
func (health *health) estimate(now time.Time, took time.Duration) {
	if now.Sub(health.estimatedAt) > estimateAge {
		health.replyTime = 0
	}
	health.replyTime += (took - health.replyTime) * replyWeightTenths / 10
	health.estimatedAt = now
}

// recordReply records the reply of a primary, in time or late.
func (client *Client) recordReply(entry state.Entry, took time.Duration) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	health := client.healthOf(entry)
	health.unansweredSince = time.Time{}
	health.estimate(client.clock.Now(), took)
}

// mayAsk reports whether to ask a primary. One that is late is asked for a part of the
// requests only, so that its link empties.
func (client *Client) mayAsk(entry state.Entry) bool {
	if entry.Name == client.self {
		return true
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	health := client.healthOf(entry)
	age := client.clock.Now().Sub(health.estimatedAt)
	late := health.replyTime >= lateReply && age <= estimateAge
	if late != health.late {
		health.late = late
		client.log.WithField("primary", entry.Name).WithField("late", late).WithField("replyTime", health.replyTime.String()).
			WithField("age", age.String()).Info(logPrefix + "how often a primary is asked changed")
	}
	if !late {
		return true
	}
	health.skipped++
	if health.skipped%tryEach == 0 {
		return true
	}
	countEvent(client.Stats, "primaryLate")
	return false
}

// mayReply reports whether a late primary is expected to reply before requestTimeout. It is
// then better than a refusal.
func (client *Client) mayReply(entry state.Entry) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.healthOf(entry).replyTime < requestTimeout
}

// choose returns the host to ask for a subject's permits: the primary or, if it is
// suspected, for most requests the next host.
func (client *Client) choose(subject, dataCentre string, except ...string) (state.Entry, bool) {
	first, found := client.primaryOf(subject, dataCentre, false, except)
	if !found {
		return first, found
	}
	client.mutex.Lock()
	health, suspected := client.health[first.Name], false
	if health != nil && client.clock.Now().Before(health.suspectUntil) {
		health.redirected++
		suspected = health.redirected%tryEach != 0
	}
	client.mutex.Unlock()
	if !suspected {
		return first, true
	}
	return client.primary(subject, dataCentre, except...)
}

// suspect lets the next host be asked in place of a primary for suspectDuration. A late
// reply counts only if the primary has replied to nothing for suspectSilence.
func (client *Client) suspect(entry state.Entry, cause error) {
	now := client.clock.Now()
	client.mutex.Lock()
	health := client.healthOf(entry)
	wasSuspected := now.Before(health.suspectUntil)
	if errors.Is(cause, errTimeout) {
		health.estimate(now, requestTimeout)
		if health.unansweredSince.IsZero() {
			health.unansweredSince = now.Add(-requestTimeout)
		}
		if now.Sub(health.unansweredSince) < suspectSilence {
			client.mutex.Unlock()
			return
		}
	}
	health.suspectUntil = now.Add(suspectDuration)
	client.mutex.Unlock()
	if !wasSuspected {
		countEvent(client.Stats, "primarySuspected")
		client.log.WithError(cause).WithField("primary", entry.Name).Warn(logPrefix + "primary did not answer")
	}
}

// isFormer reports whether a primary is of the previous version.
func (client *Client) isFormer(entry state.Entry) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	health, known := client.health[entry.Name]
	return known && client.clock.Now().Before(health.formerUntil)
}

// recordFormer records that a primary did not know a request.
func (client *Client) recordFormer(entry state.Entry) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.healthOf(entry).formerUntil = client.clock.Now().Add(formerDuration)
}
