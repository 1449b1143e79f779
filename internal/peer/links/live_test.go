package links

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/gnet/v2"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// TestLiveness guards against links that are closed because replies are late, because no
// call is pending, or because this process did not run, and against links that are kept
// although nothing is received on them.
func TestLiveness(t *testing.T) {
	cases := []struct {
		name  string
		ready bool
		// heard and pending return the state at a check, and step the time before it.
		heard, pending func(check int) bool
		step           func(check int) time.Duration
		pings          int
		closedAt       int // the number of the check that closes the link, 0 if none does
	}{
		{"something is received each 0.9 s", true, each(9), always, evenly, 3, 0},
		{"nothing is received", true, never, always, evenly, 2, 15},
		{"nothing is received, and no call is pending", true, never, never, evenly, 0, 0},
		{"a call after a long idle time", true, never, func(check int) bool { return check > 20 }, evenly, 1, 0},
		{"the process is stopped for 5 s", true, func(check int) bool { return check > 10 }, always, func(check int) time.Duration {
			if check == 10 {
				return 5 * time.Second
			}
			return checkInterval
		}, 2, 0},
		{"the handshake does not proceed", false, never, always, evenly, 0, 20},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			var liveness liveness
			now, pings, closedAt := time.Unix(1000, 0), 0, 0
			for check := range 28 {
				now = now.Add(testcase.step(check))
				switch liveness.check(now, testcase.heard(check), testcase.pending(check), testcase.ready) {
				case verdictPing:
					pings++
				case verdictClose:
					if closedAt == 0 {
						closedAt = check
					}
				case verdictNone:
				}
				if closedAt > 0 {
					break
				}
			}
			is.Equal(pings, testcase.pings)
			is.Equal(closedAt, testcase.closedAt)
		})
	}
}

func always(int) bool { return true }

func never(int) bool { return false }

func each(count int) func(int) bool { return func(check int) bool { return check%count == 0 } }

func evenly(int) time.Duration { return checkInterval }

// closingConn records whether it was closed, and drops what is written.
type closingConn struct {
	gnet.Conn

	closed bool
}

// AsyncWrite implements gnet.Conn.
func (*closingConn) AsyncWrite([]byte, gnet.AsyncCallback) error { return nil }

// Close implements gnet.Conn.
func (closingconn *closingConn) Close() error {
	closingconn.closed = true
	return nil
}

// TestSilentLinkIsReplaced guards against calls that wait on a connection that became silent
// without a reset: they must fail, and the next call must open another connection.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	conn := &closingConn{}
	link := &outbound{address: address, conn: conn, ready: make(chan struct{}), closed: make(chan struct{}), pending: map[uint64]pendingCall{}}
	close(link.ready)
	client := &Client{links: map[netip.AddrPort]*outbound{address: link}}
	reply, err := link.addPending(link.lastNumber.Add(1), false)
	is.NoErr(err)
	now := time.Unix(1000, 0)
	for range 20 {
		client.checkLinks(now)
		now = now.Add(checkInterval)
	}
	_, open := <-reply
	is.True(!open)
	is.True(conn.closed)
	is.Equal(len(client.links), 0)
}

// standingHost is a host whose replies wait until it goes on, and the link to it, on which
// nothing is received until then.
type standingHost struct {
	client  *Client
	address netip.AddrPort
	got     chan string
	goesOn  chan struct{}
	link    *outbound
}

func newStandingHost(t *testing.T) *standingHost {
	t.Helper()
	standing := &standingHost{got: make(chan string, 8), goesOn: make(chan struct{})}
	handler := func(_ context.Context, request Payload) Payload {
		standing.got <- request.Kind
		<-standing.goesOn
		return Payload{Kind: request.Kind + "-reply", Head: emptyHead}
	}
	standing.client, standing.address = startServerAndClient(t, trust.Secret("fleet"), handler, nil, nil)
	is.New(t).NoErr(standing.client.Open(t.Context(), standing.address))
	standing.client.mutex.Lock()
	standing.link = standing.client.links[standing.address]
	standing.client.mutex.Unlock()
	return standing
}

// call sends a request, waits until the host has it, and returns what becomes of it.
func (standinghost *standingHost) call(ctx context.Context, kind string) <-chan string {
	outcome := make(chan string, 1)
	go func() {
		reply, err := standinghost.client.Call(ctx, standinghost.address, Payload{Kind: kind, Head: emptyHead})
		if err != nil {
			reply.Kind = err.Error()
		}
		outcome <- reply.Kind
	}()
	<-standinghost.got
	return outcome
}

// TestPatientCallOutlastsSilence guards against requests that an upstream works on and that are
// given up as the link to the host that sent them is silent, and against others that wait with
// them.
func TestPatientCallOutlastsSilence(t *testing.T) {
	is := is.New(t)
	standing := newStandingHost(t)
	patient := standing.call(WithPatience(t.Context()), "patient")
	impatient := standing.call(t.Context(), "impatient")
	standing.client.replace(standing.link)
	is.Equal(<-impatient, ErrLost.Error())
	later := standing.call(t.Context(), "later") // on another link
	close(standing.goesOn)
	is.Equal(<-patient, "patient-reply")
	is.Equal(<-later, "later-reply")
	<-standing.link.closed // as its last request has ended
}

// TestRetiredLinkEndsWithItsContexts guards against links that stay open for requests which wait
// no longer.
func TestRetiredLinkEndsWithItsContexts(t *testing.T) {
	is := is.New(t)
	standing := newStandingHost(t)
	defer close(standing.goesOn)
	ctx, cancel := context.WithCancel(t.Context())
	patient := standing.call(WithPatience(ctx), "patient")
	standing.client.replace(standing.link)
	cancel()
	is.True(<-patient != "patient-reply")
	<-standing.link.closed
}

// TestPing guards against pings that reach the handler, which would log an unknown request.
func TestPing(t *testing.T) {
	is := is.New(t)
	handler := func(context.Context, Payload) Payload { return Payload{Kind: "handled", Head: emptyHead} }
	client, address := startServerAndClient(t, trust.Secret("fleet"), handler, nil, nil)
	reply, err := client.Call(t.Context(), address, Payload{Kind: kindPing, Head: emptyHead})
	is.NoErr(err)
	is.Equal(reply.Kind, kindPong)
}
