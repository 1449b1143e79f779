package calls

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// TestRoundTrip checks that requests and outcomes survive encoding and decoding.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	request := Request{
		ID: "r", Workspace: "w", Service: "s", Key: "k", Method: http.MethodPost, Target: "/x?y", Remaining: time.Second,
		Header: []state.HeaderField{{Name: "A", Value: "b"}}, Shard: "dispatch/s", ShardEpoch: 7, Body: []byte("body"),
	}
	request.SetFingerprint()
	payload, err := EncodeRequest(request)
	is.NoErr(err)
	received, err := DecodeRequest(payload)
	is.NoErr(err)
	is.Equal(received, request)
	for _, outcome := range []Outcome{
		Response{Answer: state.Answer{Status: 201, Header: request.Header, Body: []byte("made")}, Replayed: true, Upstream: "u"},
		Refusal{Reason: ReasonShardMoved, Ran: RanNot, Detail: "moved", RetryAfter: time.Second},
	} {
		payload, err := EncodeOutcome(outcome)
		is.NoErr(err)
		received, err := DecodeOutcome(payload)
		is.NoErr(err)
		is.Equal(received, outcome)
	}
}

// TestStatusOutOfRange guards against a host that can't answer its caller, since another host, of
// an earlier version, passes on an answer whose status is none of HTTP.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []int{0, 99, 100, 199, 600, 999} {
		is := is.New(t)
		payload, err := EncodeOutcome(Response{Answer: state.Answer{Status: status}})
		is.NoErr(err)
		outcome, err := DecodeOutcome(payload)
		is.NoErr(err)
		refusal, ok := outcome.(Refusal)
		is.True(ok)
		is.Equal(refusal.Ran, RanYes)
	}
}

// TestEmptyRefusal checks that an empty refusal is not decoded, such as the response
// of a host that could not read the request.
func TestEmptyRefusal(t *testing.T) {
	_, err := DecodeOutcome(links.Payload{Kind: KindRefusal, Head: []byte{0xf6}})
	is.New(t).True(err != nil)
}

// TestFingerprint checks that the fingerprint depends on each part of the content and
// on the boundaries between the parts, but not on the idempotency key.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, request := range []Request{
		{Workspace: "a", Service: "b"}, {Workspace: "ab"}, {Workspace: "a", Key: "b"}, {Workspace: "a", Method: "b"},
		{Workspace: "a", Target: "b"}, {Workspace: "a", Body: []byte("b")},
	} {
		request.SetFingerprint()
		is.True(!seen[request.Fingerprint])
		seen[request.Fingerprint] = true
	}
	request := Request{Workspace: "a", Service: "b", IdempotencyKey: "k"}
	request.SetFingerprint()
	is.True(seen[request.Fingerprint])
}

// FuzzDecode checks that decoding arbitrary payloads does not panic.
func FuzzDecode(f *testing.F) {
	f.Add(KindRefusal, []byte{0xa0}, []byte("body"))
	f.Add(KindAnswer, []byte{0xf6}, []byte(nil))
	f.Fuzz(func(_ *testing.T, kind string, head, body []byte) {
		payload := links.Payload{Kind: kind, Head: head, Body: body}
		_, _ = DecodeRequest(payload)
		_, _ = DecodeOutcome(payload)
	})
}
