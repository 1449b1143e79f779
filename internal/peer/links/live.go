package links

import (
	"context"
	"time"
)

const (
	// checkInterval is how often links with pending calls are checked for silence.
	checkInterval = 100 * time.Millisecond
	// pingSilence is the silence after which a link with pending calls is asked for a sign
	// of life, and closeSilence that after which it is closed. Replies may be late for longer
	// than requests wait, as links of 2 Mbit/s queue responses to callers ahead of them.
	pingSilence  = 500 * time.Millisecond
	closeSilence = 1500 * time.Millisecond
)

// The kinds of a request that only asks for a sign of life, and of its reply. A server of
// the previous version replies with a kind of its own, which serves as well.
const (
	kindPing = "ping"
	kindPong = "pong"
)

// verdict is what to do about a link.
type verdict int

const (
	verdictNone verdict = iota
	verdictPing
	verdictClose
)

// liveness measures how long nothing was received on a link while calls were pending. Time
// in which this process did not run does not count. The zero value is that of a new link.
type liveness struct {
	checkedAt time.Time
	silence   time.Duration
	// pinged is the silence at the latest ping, 0 if there was none in this silence.
	pinged time.Duration
}

// check is called every checkInterval. It is told whether bytes were received since the
// last check, whether calls are pending, and whether the handshake is complete.
func (liveness *liveness) check(now time.Time, heard, pending, ready bool) verdict {
	elapsed := min(now.Sub(liveness.checkedAt), 2*checkInterval)
	if liveness.checkedAt.IsZero() {
		elapsed = 0
	}
	liveness.checkedAt = now
	if heard || !pending {
		liveness.silence, liveness.pinged = 0, 0
		return verdictNone
	}
	liveness.silence += elapsed
	switch {
	case !ready && liveness.silence >= handshakeTimeout, ready && liveness.silence >= closeSilence:
		return verdictClose
	case ready && liveness.silence-liveness.pinged >= pingSilence:
		liveness.pinged = liveness.silence
		return verdictPing
	}
	return verdictNone
}

// checkLinks pings or closes the links on which nothing is received.
func (client *Client) checkLinks(now time.Time) {
	client.mutex.Lock()
	checked := make([]*outbound, 0, len(client.links))
	for _, link := range client.links {
		checked = append(checked, link)
	}
	client.mutex.Unlock()
	for _, link := range checked {
		switch link.check(now) {
		case verdictPing:
			link.ping()
		case verdictClose:
			client.replace(link)
		case verdictNone:
		}
	}
}

// check returns what to do about the link now.
func (outbound *outbound) check(now time.Time) verdict {
	heard := outbound.heard.Swap(false)
	ready := false
	select {
	case <-outbound.ready:
		ready = true
	default:
	}
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	return outbound.liveness.check(now, heard, !ready || len(outbound.pending) > 0, ready)
}

// replace has new requests use another link than one on which nothing is received, and fails the
// requests on it that are not patient.
func (client *Client) replace(link *outbound) {
	if link.retire() {
		client.forget(link)
		return
	}
	client.removeLink(link)
	link.closeConn()
}

// hasPatient reports whether patient requests wait. The mutex must be held.
func (outbound *outbound) hasPatient() bool {
	for _, call := range outbound.pending {
		if call.patient {
			return true
		}
	}
	return false
}

// retire lets only the patient requests wait, and reports whether there are any.
func (outbound *outbound) retire() bool {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.ended || !outbound.hasPatient() {
		return false
	}
	outbound.retired = true
	outbound.failPending(func(call pendingCall) bool { return !call.patient })
	return true
}

// endRetired closes a link that is retired once no request is left. The mutex must be held.
func (outbound *outbound) endRetired() {
	if outbound.retired && len(outbound.pending) == 0 && outbound.conn != nil {
		_ = outbound.conn.Close()
	}
}

// patience is the key of the context's value that marks patient requests.
type patience struct{}

// WithPatience returns the context of a request that outlasts the silence of its link, as its
// reply may take as long as its work. It fails once the connection or the context ends.
func WithPatience(ctx context.Context) context.Context {
	return context.WithValue(ctx, patience{}, true)
}

func isPatient(ctx context.Context) bool { return ctx.Value(patience{}) != nil }

// ping sends a request whose reply is discarded. That it is received is enough.
func (outbound *outbound) ping() {
	encoded, err := Payload{Kind: kindPing, Head: emptyHead}.frame(frameRequest, outbound.lastNumber.Add(1))
	if err == nil {
		_ = outbound.write(encoded)
	}
}

// emptyHead is the encoding of a head without content.
var emptyHead = []byte{0xf6}

// watch checks the links until the client is closed.
func (client *Client) watch() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			client.checkLinks(now)
		case <-client.done:
			return
		}
	}
}
