package links

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// rawLink opens a link by hand, so that its end can be one that does not read.
func rawLink(t *testing.T, address string) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	challenge := readRaw(t, conn)
	nonce, err := trust.NewNonce()
	is.NoErr(err)
	proof := trust.Secret("fleet").Proof(trust.PurposeLinkClient, challenge.body, nonce)
	_, err = conn.Write(frame{kind: frameClientProof, body: append(bytes.Clone(nonce), proof...)}.encode())
	is.NoErr(err)
	is.Equal(readRaw(t, conn).kind, frameServerProof)
	return conn
}

func readRaw(t *testing.T, conn net.Conn) frame {
	t.Helper()
	prefix := make([]byte, lengthPrefixSize)
	_, err := io.ReadFull(conn, prefix)
	is.New(t).NoErr(err)
	data := make([]byte, binary.BigEndian.Uint32(prefix))
	_, err = io.ReadFull(conn, data)
	is.New(t).NoErr(err)
	decoded, err := decodeFrame(data)
	is.New(t).NoErr(err)
	return decoded
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	address := freeAddress(t)
	echo := func(_ context.Context, request Payload) Payload { return request }
	server, err := Listen(address, trust.Secret("fleet"), echo, nil, &log.Logger{Handler: discard.New()})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server, address.String()
}

// TestHeldBytesAreBounded guards against other hosts that use up this one's memory: they read no
// replies, or send long frames and never their ends. Other links work meanwhile.
func TestHeldBytesAreBounded(t *testing.T) {
	request, err := Payload{Kind: "echo", Head: []byte{0xf6}, Body: make([]byte, 1<<20)}.frame(frameRequest, 1)
	is.New(t).NoErr(err)
	longest, err := Payload{Kind: "echo", Head: []byte{0xf6}, Body: make([]byte, MaxFrame-1<<10)}.frame(frameRequest, 1)
	is.New(t).NoErr(err)
	unfinished := longest.encode()
	for _, test := range []struct {
		name  string
		sent  []byte
		links int
		times int
	}{
		{"replies left unread", request.encode(), 1, 64},
		{"frames without end", unfinished[:len(unfinished)-1], 4, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server, address := startServer(t)
			ends := make(chan error, test.links)
			for range test.links {
				conn := rawLink(t, address)
				go func() {
					for range test.times {
						if _, err := conn.Write(test.sent); err != nil {
							break
						}
					}
					ends <- nil
				}()
			}
			for range test.links {
				<-ends
			}
			usual := rawLink(t, address)
			_, err := usual.Write(frame{kind: frameRequest, number: 7, head: request.head}.encode())
			is.NoErr(err)
			is.Equal(readRaw(t, usual).number, uint64(7))
			for deadline := time.Now().Add(10 * time.Second); server.held.Load()+server.queued.Load() > maxHeldBytes+freeBytes; {
				is.True(time.Now().Before(deadline)) // what is held falls below the bound
				<-time.After(time.Millisecond)
			}
		})
	}
}

// TestUnfinishedHandshakeEnds guards against connections that never prove that they know the
// secret, and stay.
func TestUnfinishedHandshakeEnds(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	readRaw(t, conn) // the challenge
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// readBytes is more than a link takes in before it is looked at.
const readBytes = 1 << 20

// startUnfinished starts a host that answers each request with the longest frame, without its
// end, and then waits. It returns its address.
func startUnfinished(t *testing.T, closed chan<- bool) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	longest, err := Payload{Kind: "echo", Head: []byte{0xf6}, Body: make([]byte, MaxFrame-1<<10)}.frame(frameReply, 1)
	is.New(t).NoErr(err)
	unfinished := longest.encode()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		nonce := make([]byte, trust.NonceSize)
		_, _ = conn.Write(frame{kind: frameChallenge, body: nonce}.encode())
		answer := make([]byte, lengthPrefixSize+headerSize+trust.NonceSize+trust.ProofSize)
		if _, err := io.ReadFull(conn, answer); err != nil {
			return
		}
		peerNonce := answer[lengthPrefixSize+headerSize:][:trust.NonceSize]
		proof := trust.Secret("fleet").Proof(trust.PurposeLinkServer, peerNonce, nonce)
		_, _ = conn.Write(frame{kind: frameServerProof, body: proof}.encode())
		_, _ = conn.Read(make([]byte, 1))
		if _, err = conn.Write(unfinished[:len(unfinished)-1]); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		closed <- true
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestUnfinishedRepliesAreBounded guards against hosts that each send a reply without its end,
// and use up the memory of the host that called them. Links to others work meanwhile.
func TestUnfinishedRepliesAreBounded(t *testing.T) {
	const hosts, fitting = 6, 2
	is := is.New(t)
	client, err := NewClient(trust.Secret("fleet"), nil)
	is.NoErr(err)
	closed := make(chan bool, hosts)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range hosts {
		address := startUnfinished(t, closed)
		go func() { _, _ = client.Call(ctx, address, Payload{Kind: "echo", Head: []byte{0xf6}}) }()
	}
	most := int64(0)
	for ended := 0; ended < hosts-fitting; {
		most = max(most, client.held.Load())
		select {
		case <-closed:
			ended++
		case <-ctx.Done():
			t.Fatal("the links stay open")
		default:
			runtime.Gosched()
		}
	}
	// Until its end is handled, each link that is closed counts with what it held last.
	is.True(most <= maxHeldBytes+hosts*readBytes)
	_, address := startServer(t)
	_, err = client.Call(ctx, netip.MustParseAddrPort(address), Payload{Kind: "echo", Head: []byte{0xf6}})
	is.NoErr(err)
	is.NoErr(client.Close())
}
