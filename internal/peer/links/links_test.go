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

func startPair(t *testing.T, secret trust.Secret, handler Handler, datagram Datagram, back func(netip.AddrPort, []byte)) (*Client, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	address := freeAddress(t)
	logger := &log.Logger{Handler: discard.New()}
	server, err := Listen(address, trust.Secret("fleet"), handler, datagram, logger)
	is.NoErr(err)
	client, err := NewClient(secret, back)
	is.NoErr(err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, address
}

// echo replies with the request's body, later requests first.
func echo(gate chan struct{}) Handler {
	return func(_ context.Context, request Payload) Payload {
		switch request.Kind {
		case "slow":
			<-gate
		case "last":
			close(gate)
		}
		return request
	}
}

// TestCrossedReplies answers out of order: each caller gets its own reply.
func TestCrossedReplies(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	client, address := startPair(t, trust.Secret("fleet"), echo(gate), nil, nil)
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

// idleConn is a connection that nothing is done with.
type idleConn struct{ gnet.Conn }

// TestReadyLinkIsOpen ends a greeting before the dial has returned to the request
// that began it: other requests that wait for the link can use it.
func TestReadyLinkIsOpen(t *testing.T) {
	is := is.New(t)
	secret := trust.Secret("fleet")
	link := &outbound{ready: make(chan struct{}), nonce: []byte("client"), server: []byte("server")}
	welcome := frame{kind: frameWelcome, body: secret.Proof(trust.PurposeLinkServer, link.nonce, link.server)}
	is.NoErr((&Client{secret: secret}).take(idleConn{}, link, welcome))
	<-link.ready
	is.True(link.conn != nil)
}

func TestStrangerIsNotServed(t *testing.T) {
	is := is.New(t)
	called := false
	handler := func(_ context.Context, request Payload) Payload {
		called = true
		return request
	}
	client, address := startPair(t, trust.Secret("stranger"), handler, nil, nil)
	_, err := client.Call(t.Context(), address, Payload{Kind: "any", Head: []byte{0xf6}})
	is.True(errors.Is(err, ErrNotSent))
	is.True(!called)
}

func TestUnreachableHostIsNotSent(t *testing.T) {
	is := is.New(t)
	client, err := NewClient(trust.Secret("fleet"), nil)
	is.NoErr(err)
	defer client.Close()
	_, err = client.Call(t.Context(), freeAddress(t), Payload{Kind: "any", Head: []byte{0xf6}})
	is.True(errors.Is(err, ErrNotSent))
}

// TestGarbage sends bytes that are no frames: the port closes that connection
// and goes on serving others.
func TestGarbage(t *testing.T) {
	is := is.New(t)
	client, address := startPair(t, trust.Secret("fleet"), echo(nil), nil, nil)
	for _, garbage := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		bytes.Repeat([]byte{0}, 100),
		bytes.Repeat([]byte{0xff}, 5000),
		frame{kind: frameRequest, number: 1, head: []byte("x")}.encode(),
	} {
		conn, err := net.Dial("tcp", address.String())
		is.NoErr(err)
		_, err = conn.Write(garbage)
		is.NoErr(err)
		_, _ = io.ReadAll(conn) // returns once the port has closed the connection
		is.NoErr(conn.Close())
	}
	_, err := client.Call(t.Context(), address, Payload{Kind: "any", Head: []byte{0xf6}})
	is.NoErr(err)
}

func TestDatagram(t *testing.T) {
	is := is.New(t)
	back := make(chan []byte, 1)
	answer := func(data []byte) []byte { return append([]byte("re: "), data...) }
	client, address := startPair(t, trust.Secret("fleet"), nil, answer, func(_ netip.AddrPort, data []byte) { back <- data })
	is.NoErr(client.Send(address, []byte("beat")))
	is.Equal(string(<-back), "re: beat")
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
	client, address := startPair(t, trust.Secret("fleet"), handler, nil, nil)
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
	f.Add(frame{kind: frameRequest, number: 7, head: []byte("head"), body: []byte("body")}.encode()[lengthSize:])
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			return
		}
		if again := decoded.encode()[lengthSize:]; !bytes.Equal(again, data) {
			t.Fatalf("frame %x becomes %x", data, again)
		}
	})
}
