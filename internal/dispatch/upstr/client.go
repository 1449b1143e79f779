package upstr

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/bulk"
	"damaskcrank.example/damaskcrank/internal/base/codes"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 30 * time.Second
	maxGrantResponseBytes  = 64 << 10
	maxResponseHeaderBytes = 64 << 10
	// usualHeadCost is the cost in bytes up to which the head of a response is a usual one, and
	// freeBytes the first bytes of a body. Neither is counted with those of other responses.
	usualHeadCost = 64 << 10
	freeBytes     = 64 << 10
	// bodyCopies is the number of copies of a body while it is read: it grows by copying.
	bodyCopies = 2
	// maxErrorBytes bounds what an error quotes of a response.
	maxErrorBytes = 256
	// lowerIdempotencyKey is deliberately not in canonical form: net/http retries
	// requests that have the canonical field on another connection by itself.
	lowerIdempotencyKey = "idempotency-key"
)

// Client sends requests and grants to upstreams over HTTP.
type Client struct {
	transport *http.Transport
	// grants has separate connections, so that requests cannot delay grants.
	grants *http.Transport
	// bodies accounts for the responses that are being read.
	bodies bulk.Bodies
}

// NewClient returns a client that opens at most the given number of connections to
// each upstream. Directly before each write to a connection it calls allowed, and
// the write fails if that returns false. If allowed is nil, all writes are allowed.
func NewClient(connections int, allowed func() bool) *Client {
	client := &Client{}
	client.transport = newTransport(connections, allowed, &client.bodies)
	client.grants = newTransport(2, allowed, &client.bodies)
	return client
}

// SetMaxBuffered bounds the responses that are being read, of all upstreams together, in bytes.
// 0 is the default of 64 MiB. Beyond, the longest is given up.
func (client *Client) SetMaxBuffered(limit int) { client.bodies.SetLimit(limit) }

func newTransport(connections int, allowed func() bool, bodies *bulk.Bodies) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, Error.New("dial: %w", err)
			}
			guardedconn := newGuardedConn(conn, allowed)
			guardedconn.held = bulk.NewBody(bodies, conn)
			return guardedconn, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
	client.grants.CloseIdleConnections()
}

// singleUseBody is a request body that net/http cannot rewind, so that it never
// retries a request by itself.
type singleUseBody struct{ reader io.Reader }

// Read implements io.Reader.
func (singleusebody singleUseBody) Read(data []byte) (int, error) {
	count, err := singleusebody.reader.Read(data)
	if err != nil {
		return count, err //nolint:wrapcheck // io.EOF must not be wrapped
	}
	return count, nil
}

// usuallyLacksBody reports whether, for the method, net/http probes a body of unknown
// length and sends none if it is empty.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	default:
		return false
	}
}

// newRequest returns the HTTP request for a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address.String() + call.Target
	var body io.Reader
	if len(call.Body) > 0 || usuallyLacksBody(call.Method) {
		body = singleUseBody{reader: bytes.NewReader(call.Body)}
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
	if call.AttemptID != "" {
		request.Header.Set(HeaderAttempt, call.AttemptID)
	}
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

// Send sends a call and returns its result. NotRun is returned only if that is
// certain: either there was no connection, or the upstream said so.
func (client *Client) Send(ctx context.Context, call Call) Result {
	var connection *guardedConn
	request, err := newRequest(traceConnections(ctx, func(conn *guardedConn) { connection = conn }), call)
	if err != nil {
		return NotRun{Cause: CauseUnreachable, Err: err}
	}
	response, err := client.transport.RoundTrip(request)
	if connection != nil {
		connection.endHead()
		defer connection.held.Release()
	}
	if err != nil {
		return failedResult(ctx, connection != nil, err)
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderAttempt); id != "" && id != call.AttemptID {
		_ = connection.Close() // the response to this attempt may still come
		return Lost{Err: Error.New("the upstream answered another attempt")}
	}
	return readResponse(ctx, response, call.MaxAnswerSize, connection.held)
}

// failedResult returns the result of a call that failed before the response's
// header was received.
func failedResult(ctx context.Context, connected bool, err error) Result {
	switch {
	case !connected:
		return NotRun{Cause: CauseUnreachable, Err: Error.New("connect: %w", err)}
	case ctx.Err() != nil:
		return TimedOut{Err: Error.New("wait for answer: %w", ctx.Err())}
	default:
		return Lost{Err: Error.New("connection ended: %w", shortenError(err))}
	}
}

// shortenError bounds the text of an error, which may quote all that an upstream sent.
func shortenError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return Error.New("%s", shorten(text))
}

func shorten(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}

// countedReader counts what is read of a body, beyond its first bytes, with the bodies of other
// responses.
type countedReader struct {
	reader io.Reader
	held   *bulk.Body
	count  int
}

// Read implements io.Reader. It fails with bulk.ErrFull if the body is given up.
func (countedreader *countedReader) Read(data []byte) (int, error) {
	count, err := countedreader.reader.Read(data)
	free := max(0, freeBytes-countedreader.count)
	countedreader.count += count
	if more := count - free; more > 0 {
		if err := countedreader.held.Add(bodyCopies * more); err != nil {
			return 0, err //nolint:wrapcheck // it says what failed
		}
	}
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}

func readResponse(ctx context.Context, response *http.Response, limit int, held *bulk.Body) Result {
	if response.StatusCode != http.StatusSwitchingProtocols && !codes.IsFinal(response.StatusCode) {
		return BadResponse{Cause: CauseStatus, Err: Error.New("the status of the answer is not within 100 to 599: %s", shorten(response.Status))}
	}
	if refused, ok := parseRefusal(response); ok {
		return refused
	}
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Request.Method == http.MethodHead
	if !framed || response.StatusCode == http.StatusSwitchingProtocols {
		return BadResponse{Cause: CauseUnframed, Err: Error.New("the answer has neither length nor chunks")}
	}
	body, err := io.ReadAll(io.LimitReader(&countedReader{reader: response.Body, held: held}, int64(limit)+1))
	switch {
	case err != nil && held.Release():
		return BadResponse{Cause: CauseTruncated, Err: Error.New("read answer: %w", bulk.ErrFull)}
	case err != nil && ctx.Err() != nil:
		return TimedOut{Err: Error.New("read answer: %w", ctx.Err())}
	case err != nil:
		return BadResponse{Cause: CauseTruncated, Err: Error.New("read answer: %w", err)}
	case len(body) > limit:
		return BadResponse{Cause: CauseTooLarge, Err: Error.New("the answer exceeds %d bytes", limit)}
	}
	answer := state.Answer{Status: response.StatusCode, Header: responseHeader(response.Header), Body: body}
	return Response{Answer: answer}
}

// parseRefusal returns the result for a response that states that the upstream did
// not run the call, or false if the response does not state this.
func parseRefusal(response *http.Response) (NotRun, bool) {
	outcome := response.Header.Get(HeaderOutcome)
	if outcome != OutcomeNotRun && outcome != OutcomeFenced {
		return NotRun{}, false
	}
	refused := NotRun{Cause: CauseShed, Err: Error.New("the upstream answered %s", shorten(response.Status))}
	if outcome == OutcomeFenced {
		refused.Cause = CauseFenced
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused, true
}

// FieldSet is a set of header field names in canonical form.
type FieldSet map[string]bool

// NewFieldSet returns a set of the names and of the hop-by-hop fields.
func NewFieldSet(names ...string) FieldSet {
	set := FieldSet{}
	hopByHop := []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	}
	for _, name := range slices.Concat(hopByHop, names) {
		set[http.CanonicalHeaderKey(name)] = true
	}
	return set
}

// strippedResponseHeaders are the fields of a response that callers do not receive.
var strippedResponseHeaders = NewFieldSet(HeaderOutcome, HeaderAttempt)

// responseHeader returns the fields that are forwarded to the caller.
func responseHeader(header http.Header) []state.HeaderField {
	return EndToEnd(header, strippedResponseHeaders)
}

// EndToEnd returns the header's fields, sorted by name, except those in the dropped
// set and those that the Connection field lists.
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

// Grant sends a grant and returns the upstream's acknowledgement.
func (client *Client) Grant(ctx context.Context, address netip.AddrPort, grant Grant) (GrantAck, error) {
	data, err := json.Marshal(grant)
	if err != nil {
		return GrantAck{}, Error.New("encode grant: %w", err)
	}
	url := "http://" + address.String() + GrantPath
	request, err := http.NewRequestWithContext(traceConnections(ctx, nil), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return GrantAck{}, Error.New("build grant: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.grants.RoundTrip(request)
	if err != nil {
		return GrantAck{}, Error.New("send grant: %w", shortenError(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxGrantResponseBytes+1))
	switch {
	case err != nil:
		return GrantAck{}, Error.New("read grant response: %w", err)
	case len(body) > maxGrantResponseBytes:
		return GrantAck{}, Error.New("the grant response exceeds %d bytes", maxGrantResponseBytes)
	}
	if response.StatusCode != http.StatusOK {
		return GrantAck{}, Error.New("unexpected response to grant: %s", shorten(response.Status))
	}
	var ack GrantAck
	if err := json.Unmarshal(body, &ack); err != nil {
		return GrantAck{}, Error.New("decode grant response: %w", err)
	}
	return ack, nil
}
