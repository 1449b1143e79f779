package detour

import (
	"net/http"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// The kinds of requests and replies on links.
const (
	kindForward   = "forward"
	kindForwarded = "forwarded"
	kindProbe     = "probe"
	kindProbed    = "probed"
	// kindUnknown is the reply of a host that can't handle a request, and has not.
	kindUnknown = "unknown"
)

// maxBodyBytes bounds the body of a request or a response that is passed between hosts.
const maxBodyBytes = 1 << 20

// forwardMessage asks another host to send a request to an upstream. The payload's body is
// the request's.
type forwardMessage struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// UpstreamID and Born name the upstream.
	UpstreamID string
	Born       int64
	// RequestID and Content identify the request, and From names the host that asks.
	RequestID string
	Content   string
	From      string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	// Left is the time until the response is due.
	Left time.Duration
}

func (forwardmessage forwardMessage) owner() spans.Owner {
	return spans.Owner{ID: forwardmessage.UpstreamID, Born: forwardmessage.Born}
}

// forwardOutcome tells what became of a forwarded request.
type forwardOutcome string

const (
	forwardAnswered forwardOutcome = "answered"
	// forwardFailed means that the request may have run and has no response.
	forwardFailed forwardOutcome = "failed"
	// forwardUnreached means that the helper's own path to the upstream is broken, and
	// forwardIsolated that it reaches no upstream. The request was not sent.
	forwardUnreached forwardOutcome = "unreached"
	forwardIsolated  forwardOutcome = "isolated"
	// forwardDeclined means that the helper has no room for the request, or does not know
	// the upstream or must not send to it. The request was not sent.
	forwardDeclined forwardOutcome = "declined"
)

// forwardReply is the reply to a forwardMessage. The payload's body is the response's.
type forwardReply struct {
	_       struct{} `cbor:",toarray"`
	Outcome forwardOutcome
	// Status and Header are those of the response.
	Status int
	Header http.Header
	// Failure, Reason, Received and Cause are those of a pool.SendError, and AtFault is as
	// in Outcome.
	Failure  pool.Failure
	Reason   pool.Reason
	Received int
	Cause    string
	AtFault  bool

	body []byte
}

func (forwardreply *forwardReply) response() *pool.Response {
	response := &pool.Response{Status: forwardreply.Status, Header: forwardreply.Header}
	if len(forwardreply.body) > 0 {
		response.Body = pool.Body{forwardreply.body}
	}
	return response
}

func (forwardreply *forwardReply) failure() *pool.SendError {
	return &pool.SendError{
		Failure: forwardreply.Failure, Reason: forwardreply.Reason, Received: forwardreply.Received,
		Cause: Error.New("the other host reports: %s", forwardreply.Cause),
	}
}

// payload encodes the reply.
func (forwardreply *forwardReply) payload() (links.Payload, error) {
	head, err := codec.Marshal(forwardreply)
	if err != nil {
		return links.Payload{}, Error.New("encode the reply: %w", err)
	}
	return links.Payload{Kind: kindForwarded, Head: head, Body: forwardreply.body}, nil
}
