// Package crash finds requests that end the processes of the upstreams that run them.
// An entry host attributes the end of an upstream to the requests that were cut there.
// The control leader counts the ends of each request over all hosts, in the catalog;
// from state.DirectQuarantineThreshold ends on, all hosts refuse the request. An answer from any
// upstream clears it.
package crash

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "crash: "
	// probeTimeout bounds the probe of an upstream whose connection was cut.
	probeTimeout = 500 * time.Millisecond
	// successorTime is how long after a connection was cut a new process at the
	// upstream's address shows that the earlier one ended then.
	successorTime = 6 * time.Second
	// reportTime is how long a host reports what the catalog does not show.
	reportTime = time.Minute
	// maxReported bounds the losses and, apart from them, the cleared requests that a
	// host reports, and maxUndecided the cut connections whose cause is not known yet.
	maxReported  = 256
	maxUndecided = 256
)

// Attempt is a request that was sent to an upstream.
type Attempt struct {
	// Content is the fingerprint of the request's content.
	Content string
	Service string
	Owner   spans.Owner
	Address netip.AddrPort
}

// upstream identifies the upstream's process in the catalog.
func (attempt Attempt) upstream() string {
	return fmt.Sprintf("%s@%d", attempt.Owner.ID, attempt.Owner.Born)
}

// Verdict is what is known about a request's content.
type Verdict struct {
	// Ends is the number of upstreams that ended while they ran it.
	Ends int
	// LatestAt is when the catalog last recorded such an end.
	LatestAt time.Time
}

// Quarantined reports whether the request must not be sent.
func (verdict Verdict) Quarantined() bool { return verdict.Ends >= state.DirectQuarantineThreshold }

// undecided is an attempt whose connection was cut, while its upstream may live on.
type undecided struct {
	attempt Attempt
	until   time.Time
}

// Detector attributes the ends of upstreams to requests, for one entry host. It is safe
// for concurrent use. Clock, Log and Stats must be set.
type Detector struct {
	// Suspects, if set, returns the suspects that the catalog holds, by content.
	Suspects func() map[string]state.Suspect
	// OnReport, if set, is called when there is something new to report.
	OnReport func()
	// PortClosed, if set, reports whether nothing listens at the upstream of an attempt. If
	// it is nil, this host's own connection decides.
	PortClosed func(ctx context.Context, attempt Attempt) bool
	Clock      clockwork.Clock
	Log        log.Interface
	Stats      *stats.Set

	mutex sync.Mutex
	// losses holds the ends that this host attributes to requests until the catalog
	// shows them, by content and process, and cleared the answered suspects until the
	// catalog has dropped them. The values are until when they are reported.
	losses    map[string]map[string]time.Time
	cleared   map[string]time.Time
	undecided []undecided
	probes    sync.WaitGroup
}

// Verdict returns what the catalog and this host know about a content.
func (detector *Detector) Verdict(content string) Verdict {
	suspect := detector.suspects()[content]
	verdict := Verdict{Ends: len(suspect.Upstreams), LatestAt: suspect.At}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	for upstream := range detector.losses[content] {
		if !slices.Contains(suspect.Upstreams, upstream) {
			verdict.Ends++
		}
	}
	return verdict
}

func (detector *Detector) suspects() map[string]state.Suspect {
	if detector.Suspects == nil {
		return nil
	}
	return detector.Suspects()
}

// Lost records that the upstream cut the connection of an attempt, and finds out whether
// its process has ended: its port is closed or, shortly, a new process has its address.
// A cut connection alone is no sign of that.
func (detector *Detector) Lost(attempt Attempt) {
	detector.probes.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		closed := detector.PortClosed
		if closed == nil {
			closed = func(ctx context.Context, attempt Attempt) bool { return portClosed(ctx, attempt.Address) }
		}
		if closed(ctx, attempt) {
			detector.recordEnd(attempt, "portClosed")
			return
		}
		detector.mutex.Lock()
		defer detector.mutex.Unlock()
		if len(detector.undecided) < maxUndecided {
			until := detector.Clock.Now().Add(successorTime)
			detector.undecided = append(detector.undecided, undecided{attempt: attempt, until: until})
		}
	})
}

// portClosed reports whether nothing listens at the address. An address that does not
// respond may be behind a partition.
func portClosed(ctx context.Context, address netip.AddrPort) bool {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		_ = opened.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordEnd attributes the end of an upstream to a request.
func (detector *Detector) recordEnd(attempt Attempt, evidence string) {
	upstream := attempt.upstream()
	detector.mutex.Lock()
	if detector.losses == nil {
		detector.losses = map[string]map[string]time.Time{}
	}
	dropped := len(detector.losses) >= maxReported && detector.losses[attempt.Content] == nil
	if !dropped {
		if detector.losses[attempt.Content] == nil {
			detector.losses[attempt.Content] = map[string]time.Time{}
		}
		detector.losses[attempt.Content][upstream] = detector.Clock.Now().Add(reportTime)
	}
	detector.mutex.Unlock()
	verdict := detector.Verdict(attempt.Content)
	detector.Stats.Event("suspect", evidence)
	detector.Log.WithField("content", attempt.Content).WithField("upstream", attempt.Owner.ID).WithField("born", attempt.Owner.Born).
		WithField("evidence", evidence).WithField("ends", verdict.Ends).WithField("quarantined", verdict.Quarantined()).
		WithField("dropped", dropped).Info(logPrefix + "upstream ended while it ran a request")
	if detector.OnReport != nil && !dropped {
		detector.OnReport()
	}
}

// Update decides about cut connections by the upstreams that the catalog holds.
func (detector *Detector) Update(instances map[string]state.Instance) {
	detector.mutex.Lock()
	now := detector.Clock.Now()
	var ended []Attempt
	detector.undecided = slices.DeleteFunc(detector.undecided, func(undecided undecided) bool {
		replaced := now.Before(undecided.until) && hasSuccessor(undecided.attempt, instances)
		if replaced {
			ended = append(ended, undecided.attempt)
		}
		return replaced || !now.Before(undecided.until)
	})
	detector.mutex.Unlock()
	for _, attempt := range ended {
		detector.recordEnd(attempt, "successor")
	}
}

// hasSuccessor reports whether a later process has the upstream's ID or address.
func hasSuccessor(attempt Attempt, instances map[string]state.Instance) bool {
	if instance, ok := instances[attempt.Owner.ID]; ok {
		return instance.Born > attempt.Owner.Born
	}
	for _, instance := range instances {
		if instance.Address == attempt.Address && instance.Born > attempt.Owner.Born {
			return true
		}
	}
	return false
}

// Answered clears a request that an upstream has run to its end.
func (detector *Detector) Answered(content string) {
	_, known := detector.suspects()[content]
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if detector.losses[content] == nil && !known {
		return
	}
	delete(detector.losses, content)
	detector.undecided = slices.DeleteFunc(detector.undecided, func(undecided undecided) bool {
		return undecided.attempt.Content == content
	})
	if detector.cleared == nil {
		detector.cleared = map[string]time.Time{}
	}
	if known && len(detector.cleared) < maxReported {
		detector.cleared[content] = detector.Clock.Now().Add(reportTime)
	}
	detector.Stats.Event("suspect", "cleared")
	detector.Log.WithField("content", content).Info(logPrefix + "suspect request was answered, clearing it")
}

// Report returns the changes that the catalog does not show yet. They are reported again
// until it does, since a report may be lost with the control leader.
func (detector *Detector) Report() state.UpdateSuspects {
	suspects := detector.suspects()
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	now := detector.Clock.Now()
	var report state.UpdateSuspects
	for _, content := range slices.Sorted(maps.Keys(detector.losses)) {
		upstreams := detector.losses[content]
		maps.DeleteFunc(upstreams, func(upstream string, until time.Time) bool {
			suspect := suspects[content]
			return slices.Contains(suspect.Upstreams, upstream) || suspect.QuarantinedDirect() || now.After(until)
		})
		for _, upstream := range slices.Sorted(maps.Keys(upstreams)) {
			report.Lost = append(report.Lost, state.RecordSuspect{Fingerprint: content, Upstream: upstream})
		}
		if len(upstreams) == 0 {
			delete(detector.losses, content)
		}
	}
	maps.DeleteFunc(detector.cleared, func(content string, until time.Time) bool {
		_, present := suspects[content]
		return !present || now.After(until)
	})
	report.Cleared = slices.Sorted(maps.Keys(detector.cleared))
	return report
}

// Wait blocks until no probe is running.
func (detector *Detector) Wait() { detector.probes.Wait() }
