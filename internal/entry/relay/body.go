package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

const (
	// maxBodyBytes bounds a request's body, whatever the configuration allows: a host holds
	// it in memory until the request has its answer.
	maxBodyBytes = items.DefaultBodyBytes
	// maxBodiesBytes bounds the bodies of all requests in progress beyond the first 64 KiB of
	// each. One of maxBodyBytes fits, with what its last piece has too much.
	maxBodiesBytes = maxBodyBytes + 1<<20
	// bodiesRetryAfter is the Retry-After for requests whose bodies do not fit.
	bodiesRetryAfter = time.Second
)

// errBodiesFull means that the bodies of all requests in progress would be too long.
var errBodiesFull = Error.New("the bodies of all requests would exceed the budget")

// readBody reads the body of the request. One that does not fit beside those of other
// requests is refused before all of it is read.
func (exchange *exchange) readBody() *refusal {
	limit := exchange.config.View.Limits().BodyBytes
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	reader := http.MaxBytesReader(exchange.writer, exchange.request.Body, limit)
	if exchange.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLong"}
	}
	body, err := pool.ReadBody(reader, exchange.request.ContentLength, maxBodyBytes, exchange.reserveBody)
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLong"}
	case errors.Is(err, errBodiesFull):
		exchange.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "bodiesFull", retryAfter: bodiesRetryAfter,
			inputs: log.Fields{"bytes": exchange.request.ContentLength, "held": exchange.relay.bodyBytes.Load()},
		}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "bodyCut"}
	}
	exchange.body = body
	exchange.flow.Account(pacer.In, headBytes+body.Len())
	exchange.content = exchange.fingerprint()
	return nil
}

// reserveBody takes a part of the budget of all bodies, and of heads and bodies together. The
// only body that a host holds is bounded by the former alone.
func (exchange *exchange) reserveBody(size int) error {
	relay := exchange.relay
	held := relay.bodyBytes.Add(int64(size))
	alone := held == exchange.bodyBytes+int64(size)
	if held > maxBodiesBytes || !alone && relay.MaxHeld > 0 && held+relay.HeadsUsed() > relay.MaxHeld {
		relay.bodyBytes.Add(-int64(size))
		return errBodiesFull
	}
	exchange.bodyBytes += int64(size)
	return nil
}

func (exchange *exchange) releaseBody() {
	exchange.relay.bodyBytes.Add(-exchange.bodyBytes)
	exchange.bodyBytes = 0
}
