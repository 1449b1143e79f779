package relay

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// refuse responds with a refusal by this host. Nothing else may answer a status that
// promises that the request did not run, so one that may have run fails instead.
func (exchange *exchange) refuse(refused refusal) {
	if promises(refused.status) && exchange.mayHaveRun {
		exchange.fail(refused.reason)
		return
	}
	relay := exchange.relay
	header := exchange.writer.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", formatSeconds(refused.retryAfter))
	}
	header.Set("Content-Length", "0")
	exchange.writeStatus(refused.status)
	relay.Stats.Refused(refused.reason, "notRun")
	fields := log.Fields{
		"status": refused.status, "reason": refused.reason, "retryAfter": refused.retryAfter.String(),
	}
	maps.Copy(fields, refused.inputs)
	exchange.logEvent("request refused", nil, fields)
}

// writeStatus begins the answer. It says that the connection is closed if callers should use
// another host by now, which they may not have when the request came.
func (exchange *exchange) writeStatus(status int) {
	if exchange.relay.Draining() {
		exchange.writer.Header().Set("Connection", "close")
	}
	exchange.writer.WriteHeader(status)
}

// formatSeconds formats a duration in seconds, rounded up to the next
// millisecond.
func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(math.Ceil(float64(duration)/float64(time.Millisecond))/1000, 'f', -1, 64)
}

// fail responds to a request that may have run but has no response from an
// upstream: with 504 once the deadline is reached, with 502 before.
func (exchange *exchange) fail(reason string) {
	status := http.StatusBadGateway
	if !exchange.relay.Clock.Now().Before(exchange.deadline.Add(-responseMargin)) {
		status = http.StatusGatewayTimeout
	}
	if exchange.request.Context().Err() != nil {
		reason = string(admit.ReasonCallerLeft)
	}
	exchange.writer.Header().Set("Content-Length", "0")
	exchange.writeStatus(status)
	exchange.relay.Stats.Refused(reason, "unknown")
	exchange.logEvent("request failed", nil, log.Fields{"status": status, "reason": reason, "mayHaveRun": exchange.mayHaveRun})
}

// deliver writes the upstream's response to the caller, unchanged but for
// hop-by-hop header fields.
func (exchange *exchange) deliver(outcome detour.Outcome, permit *permit.Permit) {
	response := outcome.Response
	header := exchange.writer.Header()
	for name, values := range pool.EndToEnd(response.Header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // disables content sniffing in net/http
	}
	header.Set("Content-Length", strconv.Itoa(response.Body.Len()))
	exchange.writeStatus(response.Status)
	if response.Status < http.StatusMultipleChoices {
		exchange.flow.Observe(response.Body.Len())
	}
	defer exchange.beginWriting(response.Body.Len() + len(header)*headerBytes)()
	if err := exchange.write(response.Body); err != nil {
		exchange.logEvent("cannot write the response to the caller", permit, log.Fields{fieldCause: err.Error()})
		return
	}
	if exchange.relay.OnBytes != nil {
		exchange.relay.OnBytes(exchange.service, response.Body.Len())
	}
	took := exchange.relay.Clock.Now().Sub(exchange.arrived)
	exchange.relay.Stats.Answered(exchange.service, exchange.workspace, took)
	exchange.logEvent("request answered", permit, log.Fields{
		"status": response.Status, "bytes": response.Body.Len(), "helper": outcome.Helper,
	})
}

// logEvent logs a decision about the request together with its inputs. The
// permit may be nil.
func (exchange *exchange) logEvent(message string, permit *permit.Permit, fields log.Fields) {
	now := exchange.relay.Clock.Now()
	line := log.Fields{
		"request": exchange.caller.ID, "route": exchange.route.Name, "service": exchange.service, "workspace": exchange.workspace,
		"sends": exchange.sends, "after": now.Sub(exchange.arrived).String(), "patience": exchange.caller.Timeout.String(), "version": exchange.config.Index,
	}
	if exchange.content != "" {
		line["content"] = exchange.content
	}
	if exchange.caller.HasShardKey {
		line["key"] = exchange.caller.ShardKey
	}
	if permit != nil {
		line["upstream"], line["permitFrom"], line["upstreamVersion"] = permit.Target.Owner.ID, permit.Source, permit.Target.Version
	}
	if exchange.choice.Stopped != nil {
		line["chosenVersion"], line["exposure"], line["confirmedAgo"] = exchange.choice.Version, exchange.choice.Exposure, exchange.choice.Age.String()
	}
	for name, value := range fields {
		line[name] = value
	}
	exchange.relay.Log.WithFields(line).Info(logPrefix + message)
}
