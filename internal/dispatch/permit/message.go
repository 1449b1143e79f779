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

// askMessage asks the primary of an upstream for a permit.
type askMessage struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// ID and Born name the owner of the key asked for. Without them the request
	// has no key, and goes to any upstream of Place.
	ID       string
	Born     int64
	Place    string
	Priority int
	// Bears is the longest expected wait with which the request takes a place in
	// the queue rather than ask elsewhere.
	Bears time.Duration
	// Left and Goal are the times until deadline and goal, since clocks differ.
	Left time.Duration
	Goal time.Duration
}

func (askmessage askMessage) owner() spans.Owner {
	return spans.Owner{ID: askmessage.ID, Born: askmessage.Born}
}

// targetMessage names the upstream of a granted permit.
type targetMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	ID     string
	Born   int64
}

// awaitMessage waits for a permit that was queued.
type awaitMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// doneMessage gives a permit back.
type doneMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Result admit.Result
	// Load is what the upstream reported: running, waiting, slots and pace.
	Load []int
}

// grantMessage answers with the permit's number, granted or queued.
type grantMessage struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// refuseMessage answers with a refusal.
type refuseMessage struct {
	_          struct{} `cbor:",toarray"`
	Reason     admit.Reason
	RetryAfter time.Duration
}

// payload encodes a message under its kind.
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
	return []int{load.Running, load.Waiting, load.Slots, load.Pace}
}

// loadWidth is the number of values of an encoded load.
const loadWidth = 4

func decodeLoad(values []int) *admit.Load {
	if len(values) != loadWidth {
		return nil
	}
	return &admit.Load{Running: values[0], Waiting: values[1], Slots: values[2], Pace: values[3]}
}
