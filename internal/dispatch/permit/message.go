package permit

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// The kinds of requests and replies on links.
const (
	kindAsk     = "ask"
	kindAwait   = "await"
	kindDone    = "done"
	kindGranted = "granted"
	kindQueued  = "queued"
	kindRefused = "refused"
	kindBusy    = "busy"
	kindTaken   = "taken"
	kindUnknown = "unknown"
)

// askMessage requests a permit from the primary of an upstream.
type askMessage struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// ID and Born name the owner of the requested key. If they are unset, the
	// request has no key and may go to any upstream in the data centre Place.
	ID       string
	Born     int64
	Place    string
	Priority int
	// Bears is the longest acceptable wait. If the expected wait exceeds it, the
	// primary replies that it is busy instead of queueing the request.
	Bears time.Duration
	// Left and Goal are the times until the deadline and the goal. They are relative
	// because the clocks of hosts differ.
	Left time.Duration
	Goal time.Duration
	// Limit is the rate limit of the owner that the host knows, in requests per second, and
	// LimitAge how long ago the owner named it.
	Limit    float64
	LimitAge time.Duration
	// Avoid lists the upstreams that a request without a key must not go to.
	Avoid []spans.Owner
}

func (askmessage askMessage) owner() spans.Owner {
	return spans.Owner{ID: askmessage.ID, Born: askmessage.Born}
}

// targetMessage is the reply with a granted permit: its number and its upstream.
type targetMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	ID     string
	Born   int64
}

// awaitMessage waits for a queued permit.
type awaitMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// doneMessage releases a permit.
type doneMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Result admit.Result
	// Load is what the upstream reported: running and waiting requests, slots, and
	// the service time in percent, as in admit.Load.
	Load []int
	// Answered is set if the upstream answered, and Limit is the rate limit that it named
	// then, as in admit.Ticket.RecordLimit.
	Answered bool
	Limit    float64
	// Reporter names the host that sent the request, for the log.
	Reporter string
}

// grantMessage is the reply with the number of a queued permit.
type grantMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// refuseMessage is the reply with a refusal.
type refuseMessage struct {
	_          struct{} `cbor:",toarray"`
	Reason     admit.Reason
	RetryAfter time.Duration
}

// payload encodes a message of the given kind.
func payload(kind string, message any) (links.Payload, error) {
	head, err := codec.Marshal(message)
	if err != nil {
		return links.Payload{}, Error.New("encode %s: %w", kind, err)
	}
	return links.Payload{Kind: kind, Head: head}, nil
}

func encodeLoad(load *admit.Load) []int {
	if load == nil {
		return nil
	}
	return []int{load.Running, load.Waiting, load.Slots, load.ServiceTimePercent}
}

// loadValues is the number of values of an encoded load.
const loadValues = 4

func decodeLoad(values []int) *admit.Load {
	if len(values) != loadValues {
		return nil
	}
	return &admit.Load{Running: values[0], Waiting: values[1], Slots: values[2], ServiceTimePercent: values[3]}
}
