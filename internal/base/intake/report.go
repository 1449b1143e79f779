package intake

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// reports bounds the log lines for each reason.
type reports struct {
	mutex sync.Mutex
	// next is when the next line may be written, and left the number of events since the last.
	next map[Reason]time.Time
	left map[Reason]int
}

// due counts an event. It returns the number of events since the last line, or 0 if no line is
// due.
func (reports *reports) due(reason Reason, now time.Time) int {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	reports.left[reason]++
	if now.Before(reports.next[reason]) {
		return 0
	}
	count := reports.left[reason]
	reports.next[reason], reports.left[reason] = now.Add(logInterval), 0
	return count
}

// report counts and logs that a connection was closed, or a request refused.
func (listener *Listener) report(reason Reason) {
	options := listener.options
	options.Stats.Event(event, string(reason))
	count := listener.reports.due(reason, options.Clock.Now())
	if count == 0 {
		return
	}
	limits := listener.limits()
	options.Log.WithFields(log.Fields{
		"listener": options.Name, "reason": string(reason), "connections": count,
		"used": options.Budget.Used(), "budget": options.Budget.Total(),
		"headBytes": limits.HeadBytes, "headTimeout": limits.HeadTimeout.String(), "idleTimeout": limits.IdleTimeout.String(),
	}).Warn(logPrefix + "closed connections of callers")
}
