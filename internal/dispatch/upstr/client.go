package upstr

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	maxGrantAnswer  = 64 << 10
	maxHeaderAnswer = 64 << 10
	// lowerIdempotencyKey is written in lower case on purpose: net/http sends a
	// request with the canonical field again on another connection by itself.
	lowerIdempotencyKey = "idempotency-key"
)

// Client talks to upstreams over HTTP.
type Client struct {
	transport *http.Transport
	// grants has connections of its own, so that requests can't hold them up.
	grants *http.Transport
}

// NewClient returns a client that opens at most connections to one upstream.
// It asks allowed directly before each write on a connection, and writes
// nothing where that is false; nil allows everything.
func NewClient(connections int, allowed func() bool) *Client {
	return &Client{transport: newTransport(connections, allowed), grants: newTransport(2, allowed)}
}

func newTransport(connections int, allowed func() bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, Error.New("dial: %w", err)
			}
			return &guarded{Conn: conn, allowed: allowed}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderAnswer,
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
	client.grants.CloseIdleConnections()
}

// errNotAllowed says that a write was held back.
var errNotAllowed = Error.New("the lease ended before the write")

// guarded is a connection that is written to only while that is allowed, so
// that a pause between a lease's check and the write sends nothing.
type guarded struct {
	net.Conn

	allowed func() bool
}

// Write writes the data, or fails with errNotAllowed.
func (guarded *guarded) Write(data []byte) (int, error) {
	if guarded.allowed != nil && !guarded.allowed() {
		return 0, errNotAllowed
	}
	return guarded.Conn.Write(data) //nolint:wrapcheck // a connection's errors must stay bare
}

// once is a body that net/http can't read a second time, so that it never
// sends a request again by itself.
type once struct{ reader io.Reader }

// Read reads the body.
func (once once) Read(data []byte) (int, error) {
	count, err := once.reader.Read(data)
	if err != nil {
		return count, err //nolint:wrapcheck // io.EOF must stay bare
	}
	return count, nil
}

// usuallyLacksBody tells for which methods net/http looks whether an unknown
// body is empty, and then sends none.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	default:
		return false
	}
}

// newRequest builds the HTTP request of a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address.String() + call.Target
	var body io.Reader
	if len(call.Body) > 0 || usuallyLacksBody(call.Method) {
		body = once{reader: bytes.NewReader(call.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, Error.New("build request: %w", err)
	}
	request.ContentLength = int64(len(call.Body))
	for _, field := range call.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(HeaderWorkspace, call.Workspace)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderEpoch, strconv.FormatUint(call.Epoch, 10))
	if call.Token > 0 {
		request.Header.Set(HeaderToken, strconv.FormatUint(call.Token, 10))
	}
	if call.IdempotencyKey != "" {
		request.Header[lowerIdempotencyKey] = []string{call.IdempotencyKey}
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return request, nil
}

// Send carries a call out. A NotRun result is proved: either no connection was
// had, or the upstream said so.
func (client *Client) Send(ctx context.Context, call Call) Result {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return NotRun{Cause: CauseUnreachable, Err: err}
	}
	response, err := client.transport.RoundTrip(request)
	if err != nil {
		return failure(ctx, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(ctx, response, call.MaxAnswerSize)
}

// failure tells how a call ended that got no answer's head.
func failure(ctx context.Context, connected bool, err error) Result {
	switch {
	case !connected:
		return NotRun{Cause: CauseUnreachable, Err: Error.New("connect: %w", err)}
	case ctx.Err() != nil:
		return TimedOut{Err: Error.New("wait for answer: %w", ctx.Err())}
	default:
		return Lost{Err: Error.New("connection ended: %w", err)}
	}
}

func readAnswer(ctx context.Context, response *http.Response, limit int) Result {
	if refused, ok := refusal(response); ok {
		return refused
	}
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Request.Method == http.MethodHead
	if !framed {
		return BadAnswer{Cause: CauseUnframed, Err: Error.New("the answer has neither length nor chunks")}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return TimedOut{Err: Error.New("read answer: %w", ctx.Err())}
	case err != nil:
		return BadAnswer{Cause: CauseCut, Err: Error.New("read answer: %w", err)}
	case len(body) > limit:
		return BadAnswer{Cause: CauseTooLarge, Err: Error.New("the answer exceeds %d bytes", limit)}
	}
	answer := state.Answer{Status: response.StatusCode, Header: answerHeader(response.Header), Body: body}
	return Answered{Answer: answer}
}

// refusal recognises an upstream's statement that it did not run the call.
func refusal(response *http.Response) (NotRun, bool) {
	outcome := response.Header.Get(HeaderOutcome)
	if outcome != OutcomeNotRun && outcome != OutcomeFenced {
		return NotRun{}, false
	}
	refused := NotRun{Cause: CauseShed, Err: Error.New("the upstream answered %s", response.Status)}
	if outcome == OutcomeFenced {
		refused.Cause = CauseFenced
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused, true
}

// FieldSet is a set of header fields' names in canonical form.
type FieldSet map[string]bool

// NewFieldSet returns a set of the names and of the fields that concern one
// connection only.
func NewFieldSet(names ...string) FieldSet {
	set := FieldSet{}
	hop := []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	}
	for _, name := range slices.Concat(hop, names) {
		set[http.CanonicalHeaderKey(name)] = true
	}
	return set
}

// droppedFromAnswers are the fields of an answer that callers do not see.
var droppedFromAnswers = NewFieldSet(HeaderOutcome)

// answerHeader returns the fields that go on to the caller.
func answerHeader(header http.Header) []state.HeaderField {
	return EndToEnd(header, droppedFromAnswers)
}

// EndToEnd returns the header's fields, sorted by name, without those in the
// set and without those that the Connection field names.
func EndToEnd(header http.Header, dropped FieldSet) []state.HeaderField {
	named := connectionFields(header)
	fields := make([]state.HeaderField, 0, len(header))
	for name, values := range header {
		if dropped[name] || named[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, state.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(fields, func(left, right state.HeaderField) int {
		return strings.Compare(left.Name, right.Name)
	})
	return fields
}

// connectionFields returns the names that the Connection field lists.
func connectionFields(header http.Header) FieldSet {
	lists := header["Connection"]
	if len(lists) == 0 {
		return nil
	}
	named := FieldSet{}
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Grant sends a grant and returns the upstream's answer.
func (client *Client) Grant(ctx context.Context, address netip.AddrPort, grant Grant) (GrantAck, error) {
	data, err := json.Marshal(grant)
	if err != nil {
		return GrantAck{}, Error.New("encode grant: %w", err)
	}
	url := "http://" + address.String() + GrantPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return GrantAck{}, Error.New("build grant: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.grants.RoundTrip(request)
	if err != nil {
		return GrantAck{}, Error.New("send grant: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxGrantAnswer))
	if err != nil {
		return GrantAck{}, Error.New("read grant answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return GrantAck{}, Error.New("grant was answered %s", response.Status)
	}
	var ack GrantAck
	if err := json.Unmarshal(body, &ack); err != nil {
		return GrantAck{}, Error.New("decode grant answer: %w", err)
	}
	return ack, nil
}
