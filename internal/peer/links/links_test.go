package links

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/panjf2000/gnet/v2"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startServerAndClient starts a server with the secret "fleet" and a client with
// the given secret. Both are closed at the end of the test.
func startServerAndClient(t *testing.T, secret trust.Secret, handler Handler, datagramhandler DatagramHandler, onDatagram func(netip.AddrPort, []byte)) (*Client, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	address := freeAddress(t)
	logger := &log.Logger{Handler: discard.New()}
	server, err := Listen(address, trust.Secret("fleet"), handler, datagramhandler, logger)
	is.NoErr(err)
	client, err := NewClient(secret, onDatagram)
	is.NoErr(err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, address
}

// echoHandler replies with the request itself. Requests of the kind "slow" wait
// until one of the kind "last" has arrived, so that it is answered first.
func echoHandler(release chan struct{}) Handler {
	return func(_ context.Context, request Payload) Payload {
		switch request.Kind {
		case "slow":
			<-release
		case "last":
			close(release)
		}
		return request
	}
}

// TestOutOfOrderReplies checks that each caller gets its own reply when requests
// on one link are not answered in the order in which they were sent.
func TestOutOfOrderReplies(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	client, address := startServerAndClient(t, trust.Secret("fleet"), echoHandler(release), nil, nil)
	var group sync.WaitGroup
	failures := make(chan error, 100)
	for number := range 100 {
		group.Add(1)
		go func() {
			defer group.Done()
			body := bytes.Repeat([]byte(fmt.Sprint(number)), 1+number*100)
			reply, err := client.Call(t.Context(), address, Payload{Kind: "slow", Head: []byte{0xf6}, Body: body})
			if err != nil || !bytes.Equal(reply.Body, body) {
				failures <- fmt.Errorf("request %d got %d bytes: %w", number, len(reply.Body), err)
			}
		}()
	}
	_, err := client.Call(t.Context(), address, Payload{Kind: "last", Head: []byte{0xf6}})
	is.NoErr(err)
	group.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// stubConn is a connection whose methods are never called.
type stubConn struct{ gnet.Conn }

// TestHandshakeCompletesBeforeDialReturns checks that a link is usable as soon as
// it is ready. The handshake can complete before the dial returns to the request
// that started it, and other requests that wait for the link then use it at once.
func TestHandshakeCompletesBeforeDialReturns(t *testing.T) {
	is := is.New(t)
	secret := trust.Secret("fleet")
	link := &outbound{ready: make(chan struct{}), clientNonce: []byte("client"), serverNonce: []byte("server")}
	serverProof := frame{kind: frameServerProof, body: secret.Proof(trust.PurposeLinkServer, link.clientNonce, link.serverNonce)}
	is.NoErr((&Client{secret: secret}).handleFrame(stubConn{}, link, serverProof))
	<-link.ready
	is.True(link.conn != nil)
}

// TestWrongSecretIsRejected checks that a client with another secret gets
// ErrNotSent, and that the handler is never called.
func TestWrongSecretIsRejected(t *testing.T) {
	is := is.New(t)
	called := false
	handler := func(_ context.Context, request Payload) Payload {
		called = true
		return request
	}
	client, address := startServerAndClient(t, trust.Secret("stranger"), handler, nil, nil)
	_, err := client.Call(t.Context(), address, Payload{Kind: "any", Head: []byte{0xf6}})
	is.True(errors.Is(err, ErrNotSent))
	is.True(!called)
}

func TestUnreachableHostReturnsErrNotSent(t *testing.T) {
	is := is.New(t)
	client, err := NewClient(trust.Secret("fleet"), nil)
	is.NoErr(err)
	defer client.Close()
	_, err = client.Call(t.Context(), freeAddress(t), Payload{Kind: "any", Head: []byte{0xf6}})
	is.True(errors.Is(err, ErrNotSent))
}

// TestMalformedFramesCloseConnection checks that the server closes a connection
// that sends malformed or unauthenticated frames, and still serves others.
func TestMalformedFramesCloseConnection(t *testing.T) {
	is := is.New(t)
	client, address := startServerAndClient(t, trust.Secret("fleet"), echoHandler(nil), nil, nil)
	for _, malformed := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		bytes.Repeat([]byte{0}, 100),
		bytes.Repeat([]byte{0xff}, 5000),
		frame{kind: frameRequest, number: 1, head: []byte("x")}.encode(),
	} {
		conn, err := net.Dial("tcp", address.String())
		is.NoErr(err)
		_, err = conn.Write(malformed)
		is.NoErr(err)
		_, _ = io.ReadAll(conn) // returns once the server has closed the connection
		is.NoErr(conn.Close())
	}
	_, err := client.Call(t.Context(), address, Payload{Kind: "any", Head: []byte{0xf6}})
	is.NoErr(err)
}

func TestDatagram(t *testing.T) {
	is := is.New(t)
	received := make(chan []byte, 1)
	reply := func(data []byte) []byte { return append([]byte("re: "), data...) }
	client, address := startServerAndClient(t, trust.Secret("fleet"), nil, reply, func(_ netip.AddrPort, data []byte) { received <- data })
	is.NoErr(client.Send(address, []byte("beat")))
	is.Equal(string(<-received), "re: beat")
}

func TestCancelReachesHandler(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	handler := func(ctx context.Context, request Payload) Payload {
		close(started)
		<-ctx.Done()
		close(ended)
		return request
	}
	client, address := startServerAndClient(t, trust.Secret("fleet"), handler, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Call(ctx, address, Payload{Kind: "any", Head: []byte{0xf6}})
	is.New(t).True(errors.Is(err, context.Canceled))
	<-ended
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(frame{kind: frameRequest, number: 7, head: []byte("head"), body: []byte("body")}.encode()[lengthPrefixSize:])
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			return
		}
		if again := decoded.encode()[lengthPrefixSize:]; !bytes.Equal(again, data) {
			t.Fatalf("frame %x is encoded again as %x", data, again)
		}
	})
}

// failingConn is a connection whose writes may fail after they were queued.
type failingConn struct{ gnet.Conn }

// AsyncWrite implements gnet.Conn.
func (failingConn) AsyncWrite([]byte, gnet.AsyncCallback) error { return net.ErrClosed }

// TestFailedWriteMayHaveBeenSent guards against a request that is given to another host, and
// so runs twice, because its write failed after the event loop had got it.
func TestFailedWriteMayHaveBeenSent(t *testing.T) {
	cases := []struct {
		name    string
		conn    gnet.Conn
		notSent bool
	}{
		{"no connection", nil, true},
		{"the write failed", failingConn{}, false},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			address := freeAddress(t)
			link := &outbound{address: address, conn: testcase.conn, ready: make(chan struct{}), closed: make(chan struct{}), pending: map[uint64]pendingCall{}}
			close(link.ready)
			client := &Client{links: map[netip.AddrPort]*outbound{address: link}}
			_, err := client.Call(t.Context(), address, Payload{Kind: "any"})
			is.Equal(errors.Is(err, ErrNotSent), testcase.notSent)
			is.Equal(errors.Is(err, ErrLost), !testcase.notSent)
		})
	}
}
