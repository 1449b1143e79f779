package relay

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// refuse answers with a refusal of the host's own.
func (visit *visit) refuse(refused refusal) {
	if refused.status == http.StatusServiceUnavailable && visit.mayHaveRun {
		visit.fail(refused.reason)
		return
	}
	relay := visit.relay
	header := visit.writer.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", seconds(refused.retryAfter))
	}
	header.Set("Content-Length", "0")
	visit.writer.WriteHeader(refused.status)
	relay.Stats.Refused(refused.reason, "notRun")
	fields := log.Fields{
		"status": refused.status, "reason": refused.reason, "retryAfter": refused.retryAfter.String(),
	}
	maps.Copy(fields, refused.inputs)
	visit.note("the request is refused", nil, fields)
}

// seconds writes a duration in seconds, rounded up to milliseconds.
func seconds(duration time.Duration) string {
	return strconv.FormatFloat(math.Ceil(float64(duration)/float64(time.Millisecond))/1000, 'f', -1, 64)
}

// fail answers a request that may have run and has no answer.
func (visit *visit) fail(reason string) {
	status := http.StatusBadGateway
	if !visit.relay.Clock.Now().Before(visit.deadline.Add(-sendSlack)) {
		status = http.StatusGatewayTimeout
	}
	if visit.request.Context().Err() != nil {
		reason = string(admit.ReasonCallerLeft)
	}
	visit.writer.Header().Set("Content-Length", "0")
	visit.writer.WriteHeader(status)
	visit.relay.Stats.Refused(reason, "unknown")
	visit.note("the request failed", nil, log.Fields{"status": status, "reason": reason, "mayHaveRun": visit.mayHaveRun})
}

// deliver hands the upstream's answer to the caller, unchanged.
func (visit *visit) deliver(response *pool.Response, ticket *permit.Permit) {
	header := visit.writer.Header()
	for name, values := range pool.EndToEnd(response.Header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	visit.writer.WriteHeader(response.Status)
	if _, err := visit.writer.Write(response.Body); err != nil {
		visit.note("the caller did not take the answer", ticket, log.Fields{"cause": err.Error()})
		return
	}
	took := visit.relay.Clock.Now().Sub(visit.arrived)
	visit.relay.Stats.Answered(visit.service, visit.workspace, took)
	visit.note("the request is answered", ticket, log.Fields{"status": response.Status, "bytes": len(response.Body)})
}

// note logs one decision on the request, with what it was based on.
func (visit *visit) note(message string, ticket *permit.Permit, fields log.Fields) {
	now := visit.relay.Clock.Now()
	line := log.Fields{
		"request": visit.caller.ID, "route": visit.route.Name, "service": visit.service, "workspace": visit.workspace,
		"sends": visit.sends, "after": now.Sub(visit.arrived).String(), "patience": visit.caller.Patience.String(), "version": visit.belief.Index,
	}
	if visit.caller.HasShard {
		line["key"] = visit.caller.Shard
	}
	if ticket != nil {
		line["upstream"], line["permitFrom"] = ticket.Target.Owner.ID, ticket.Source
	}
	for name, value := range fields {
		line[name] = value
	}
	visit.relay.Log.WithFields(line).Info(logPrefix + message)
}
