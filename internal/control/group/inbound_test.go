package group

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	testMessageBytes = 8 << 20
	// endlessBytes is what an endless host writes at most, far more than any bound.
	endlessBytes = 256 << 20
)

// endlessWrite writes the start and then blocks without end. It returns the bytes that were
// written until the connection was closed, or endlessBytes.
func endlessWrite(conn net.Conn, start, block []byte) int {
	written, err := conn.Write(start)
	for err == nil && written < endlessBytes {
		var count int
		count, err = conn.Write(block)
		written += count
	}
	return written
}

// gobLength returns the length of a message as encoding/gob writes it.
func gobLength(length uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{0xf8}, length)
}

// TestEndlessReply guards against a control host that sends a reply without end: the host that
// called it kept all of it.
func TestEndlessReply(t *testing.T) {
	block := bytes.Repeat([]byte{1}, 64<<10)
	cases := []struct {
		name         string
		start, block []byte
		// upto is what may be taken, 0 if the bytes need not be refused.
		upto int
	}{
		{"longer than the bound", gobLength(1 << 32), block, testMessageBytes},
		{"within what encoding/gob takes", gobLength(endlessBytes), block, testMessageBytes},
		{"length of nine bytes", []byte{0xf7}, block, testMessageBytes},
		{"messages that are no replies", nil, block, testMessageBytes},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			cluster := startCluster(t, 1)
			cluster.leader(t.Context())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			written := make(chan int, 16)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if trust.Secret(groupSecret).ServerHandshake(conn, time.Second) == nil {
						_, _ = conn.Read(make([]byte, 1))
						written <- endlessWrite(conn, testcase.start, testcase.block)
					}
					_ = conn.Close()
				}
			}()
			client := NewClient([]netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}, trust.Secret(groupSecret))
			defer client.Close()
			client.SetMessageBytes(testMessageBytes)
			client.AddHosts(cluster.addresses)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err = client.Propose(ctx, weightChange(1)) // the other host answers
			is.NoErr(err)
			is.True(<-written < testcase.upto+16<<20) // the socket buffers take some
			is.Equal(client.inbound.bodies.Total(), 0)
		})
	}
}

// TestEndlessRequest guards against a host that sends a request without end, or many at once,
// to a control host.
func TestEndlessRequest(t *testing.T) {
	const senders = 8
	block := bytes.Repeat([]byte{1}, 64<<10)
	half := uint64(testMessageBytes / 2)
	cases := []struct {
		name  string
		start []byte
		// whole is what each sender sends before it waits, 0 without an end.
		whole int
	}{
		{"one message", gobLength(endlessBytes), 0},
		{"messages that are too long together", gobLength(half), int(half) - 1},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			cluster := startCluster(t, 1)
			node := cluster.nodes[cluster.leader(t.Context())]
			node.inbound.setLimit(testMessageBytes)
			ended := make(chan int, senders)
			for range senders {
				conn, err := net.Dial("tcp", cluster.addresses[0].String())
				is.NoErr(err)
				defer conn.Close()
				is.NoErr(trust.Secret(groupSecret).ClientHandshake(conn, time.Second))
				go func() {
					if testcase.whole == 0 {
						ended <- endlessWrite(conn, testcase.start, block)
						return
					}
					_, _ = conn.Write(append(testcase.start, make([]byte, testcase.whole)...))
					_, _ = conn.Read(make([]byte, 1)) // until it is closed
					ended <- 0
				}()
			}
			closed := senders
			if testcase.whole > 0 {
				closed = senders - 1 // each is counted twice, so that one fits
			}
			for range closed {
				is.True(<-ended < testMessageBytes+16<<20)
			}
			is.True(node.inbound.bodies.Total() <= testMessageBytes)
			_, err := cluster.client.Propose(t.Context(), weightChange(1))
			is.NoErr(err)
		})
	}
}

// TestEndlessRequests guards against a host that sends whole requests without end and reads no
// replies: each started a task.
func TestEndlessRequests(t *testing.T) {
	const requests = 20000
	is := is.New(t)
	cluster := startCluster(t, 1)
	cluster.leader(t.Context())
	conn, err := net.Dial("tcp", cluster.addresses[0].String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(trust.Secret(groupSecret).ClientHandshake(conn, time.Second))
	before := runtime.NumGoroutine()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for sequence := range requests {
		is.NoErr(encoder.Encode(rpc.Request{ServiceMethod: "Control.Fetch", Seq: uint64(sequence)}))
		is.NoErr(encoder.Encode(FetchArgs{After: 1 << 40, Wait: maxFetchWait}))
	}
	sent := make(chan struct{})
	go func() {
		_, _ = io.Copy(conn, &buffer)
		close(sent)
	}()
	most := 0
	for deadline := time.Now().Add(maxFetchWait / 2); time.Now().Before(deadline); runtime.Gosched() {
		most = max(most, runtime.NumGoroutine()-before)
	}
	is.True(most <= maxCallsInProgress+64)
	is.True(most > maxCallsInProgress/2) // they run beside each other
	result, err := cluster.client.Propose(t.Context(), weightChange(1))
	is.NoErr(err)
	is.Equal(result.Outcome, state.OutcomeDone)
	_ = conn.Close()
	<-sent
}

// TestBoundedConnFollowsMessages guards against lengths that are lost when they come in parts, and
// against messages of the longest length that are refused.
func TestBoundedConnFollowsMessages(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	texts := []string{"", "a", string(make([]byte, 127)), string(make([]byte, 70<<10)), string(make([]byte, 1<<20-16))}
	for _, text := range texts {
		is.NoErr(encoder.Encode(text))
	}
	for _, part := range []int{1, 3, 1000, 1 << 20} {
		var inbound inboundMessages
		inbound.setLimit(1 << 20)
		here, there := net.Pipe()
		go func() {
			for data := stream.Bytes(); len(data) > 0; data = data[min(part, len(data)):] {
				_, _ = there.Write(data[:min(part, len(data))])
			}
			_, _ = there.Write(gobLength(1<<20 + 1))
		}()
		decoder := gob.NewDecoder(inbound.bound(here))
		for _, text := range texts {
			var received string
			is.NoErr(decoder.Decode(&received))
			is.Equal(received, text)
			is.Equal(inbound.bodies.Total(), 0)
		}
		var none string
		is.True(decoder.Decode(&none) != nil)
		_ = there.Close()
	}
}
