package relay

import (
	"context"
	"net/http"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// headBytes is about what the head of a request or response takes of the link.
const headBytes = 400

// admitFlow refuses a request whose response the host's link can't carry in time.
func (exchange *exchange) admitFlow() *refusal {
	flow, refused := exchange.relay.Link.Admit(exchange.route.Name, exchange.arrived.Add(exchange.route.Goal), exchange.deadline.Add(-responseMargin))
	if refused != nil {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: refused.Reason, retryAfter: refused.RetryAfter, inputs: refused.Inputs,
		}
	}
	exchange.flow = flow
	return nil
}

// releaseEarly releases the permit of a request whose large response has begun. The upstream
// has done its work; what the host's link takes must neither hold its slot nor count as its
// latency. A response that does not say plainly that the request ran is read first.
func (exchange *exchange) releaseEarly(permit *permit.Permit, status int, header http.Header) {
	responseinfo := exchange.relay.Protocol.ParseResponse(status, header)
	if exchange.released || status >= http.StatusMultipleChoices || responseinfo.NotRun || responseinfo.Misplaced {
		return
	}
	exchange.recordLimit(permit, responseinfo)
	exchange.releaseAnswered(permit, status, responseinfo)
	exchange.released = true
}

// recordLimit records the rate limit that the upstream named, unless releaseEarly did.
func (exchange *exchange) recordLimit(permit *permit.Permit, responseinfo ResponseInfo) {
	if !exchange.released {
		permit.RecordLimit(responseinfo.RateLimit)
	}
}

// releaseAnswered releases the permit of an answered request, unless releaseEarly did.
func (exchange *exchange) releaseAnswered(permit *permit.Permit, status int, responseinfo ResponseInfo) {
	if !exchange.released {
		permit.Release(classifyStatus(status), responseinfo.Load)
	}
}

// releaseFailed releases the permit of a request that got no response, or records the failure
// of a response that broke off after releaseEarly.
func (exchange *exchange) releaseFailed(permit *permit.Permit, result admit.Result) {
	switch {
	case !exchange.released:
		permit.Release(result, nil)
	case result == admit.ResultFailed:
		exchange.relay.Scheduler.RecordFailure(permit.Target.Owner, exchange.service)
	}
}

// write writes the body of a response, in pieces if it is large.
func (exchange *exchange) write(body pool.Body) error {
	flow, length := exchange.flow, body.Len()
	flow.Ready(length)
	if !flow.IsLarge(pacer.Out, int64(length)) {
		flow.Account(pacer.Out, headBytes+length)
		_, err := body.WriteTo(exchange.writer)
		return err //nolint:wrapcheck // it says what failed
	}
	ctx, cancel := context.WithCancel(exchange.request.Context())
	defer cancel()
	defer exchange.relay.endWith(cancel)()
	_, err := body.WriteTo(&pacedWriter{ctx: ctx, writer: exchange.writer, flow: flow})
	return err //nolint:wrapcheck // it says what failed
}

// pacedWriter writes a response to a caller in pieces that the host's link grants. Once the
// context has ended it does not wait any more: the host is about to end, or the caller
// may have left, which the writes find out.
type pacedWriter struct {
	ctx    context.Context //nolint:containedctx // it ends with the request
	writer http.ResponseWriter
	flow   *pacer.Flow
	// unpaced is set once the context has ended.
	unpaced bool
}

// Write implements io.Writer.
func (pacedwriter *pacedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		size := len(data) - written
		if !pacedwriter.unpaced {
			granted, err := pacedwriter.flow.Take(pacedwriter.ctx, pacer.Out, size)
			pacedwriter.unpaced = err != nil
			if err == nil {
				size = granted
			}
		}
		count, err := pacedwriter.writer.Write(data[written : written+size])
		written += count
		if err != nil {
			return written, Error.New("write to the caller: %w", err)
		}
		// A writer that can't flush passes on what it is given in its own time.
		_ = http.NewResponseController(pacedwriter.writer).Flush()
		pacedwriter.flow.Done(pacer.Out)
	}
	return written, nil
}
