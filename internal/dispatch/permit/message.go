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
	// kindAsk and kindDone are sent to primaries of the previous version only.
	kindAsk       = "ask"
	kindAskGroup  = "askGroup"
	kindAwait     = "await"
	kindDone      = "done"
	kindDoneBatch = "doneBatch"
	kindGranted   = "granted"
	kindQueued    = "queued"
	kindRefused   = "refused"
	kindBusy      = "busy"
	kindTaken     = "taken"
	kindUnknown   = "unknown"
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

// group returns the message in the present form.
func (askmessage askMessage) group() askGroupMessage {
	return askGroupMessage{
		Service: askmessage.Service, ID: askmessage.ID, Born: askmessage.Born, Place: askmessage.Place, Priority: askmessage.Priority,
		Bears: askmessage.Bears.Milliseconds(), Left: askmessage.Left.Milliseconds(), Goal: askmessage.Goal.Milliseconds(),
		Limit: askmessage.Limit, LimitAge: askmessage.LimitAge.Milliseconds(), Avoid: askmessage.Avoid,
	}
}

// askGroupMessage requests a permit from the primary of an upstream or of a group of
// upstreams. Its fields are those of askMessage; times are in milliseconds.
type askGroupMessage struct {
	_       struct{} `cbor:",toarray"`
	Service string
	ID      string
	Born    int64
	Place   string
	// Group and Of name the group of upstreams in Place; Of is 0 if all may be used.
	Group, Of int
	// Version is the version of the upstreams that may be used, empty for any.
	Version string
	// Host names the host that asks, to which the permit belongs.
	Host     string
	Priority int
	Bears    int64
	Left     int64
	Goal     int64
	Limit    float64
	LimitAge int64
	Avoid    []spans.Owner
}

func (askgroupmessage askGroupMessage) owner() spans.Owner {
	return spans.Owner{ID: askgroupmessage.ID, Born: askgroupmessage.Born}
}

// former returns the message in the form of the previous version, which knows no groups.
func (askgroupmessage askGroupMessage) former() askMessage {
	return askMessage{
		Service: askgroupmessage.Service, ID: askgroupmessage.ID, Born: askgroupmessage.Born, Place: askgroupmessage.Place,
		Priority: askgroupmessage.Priority, Bears: milliseconds(askgroupmessage.Bears), Left: milliseconds(askgroupmessage.Left),
		Goal: milliseconds(askgroupmessage.Goal), Limit: askgroupmessage.Limit, LimitAge: milliseconds(askgroupmessage.LimitAge),
		Avoid: askgroupmessage.Avoid,
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

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

// doneBatchMessage releases permits of a host.
type doneBatchMessage struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Done are the releases, without their Reporter, which is Host.
	Done []doneMessage
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
