package group

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// forwarder forwards connections to a control host. It can lose one reply or delay one
// request.
type forwarder struct {
	listener net.Listener
	host     string
	// loseReply makes the next bytes that the host sends close their connection.
	loseReply atomic.Bool
	// delayRequest makes the next bytes for the host wait for release, also when the
	// client has closed its connection meanwhile.
	delayRequest atomic.Bool
	release      chan struct{}
	// answered is closed when the host has answered the delayed request.
	answered chan struct{}
}

func startForwarder(t *testing.T, host netip.AddrPort) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forwarder := &forwarder{listener: listener, host: host.String(), release: make(chan struct{}), answered: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forwarder.forward(conn)
		}
	}()
	return forwarder
}

func (forwarder *forwarder) address() netip.AddrPort {
	return netip.MustParseAddrPort(forwarder.listener.Addr().String())
}

func (forwarder *forwarder) forward(conn net.Conn) {
	defer conn.Close()
	host, err := net.Dial("tcp", forwarder.host)
	if err != nil {
		return
	}
	defer host.Close()
	var delayed atomic.Bool
	go forwarder.forwardRequests(conn, host, &delayed)
	buffer := make([]byte, 4096)
	for {
		count, err := host.Read(buffer)
		if err != nil || forwarder.loseReply.CompareAndSwap(true, false) {
			return
		}
		if delayed.Load() {
			close(forwarder.answered)
			return
		}
		if _, err := conn.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// forwardRequests forwards the client's bytes to the host, and sets delayed when it
// delays them.
func (forwarder *forwarder) forwardRequests(conn, host net.Conn, delayed *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := conn.Read(buffer)
		if err != nil {
			_ = host.Close()
			return
		}
		if forwarder.delayRequest.CompareAndSwap(true, false) {
			delayed.Store(true)
			<-forwarder.release
		}
		if _, err := host.Write(buffer[:count]); err != nil || delayed.Load() {
			return // the connection stays open until the host has answered
		}
	}
}

// TestLostReplyIsNoRepeat guards against a first proposal whose result says that it
// repeats an earlier one: the reply to it is lost after the commit, the client proposes
// it again, and reports what became of the repeat.
func TestLostReplyIsNoRepeat(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	node := cluster.nodes[cluster.leader(ctx)]
	forwarder := startForwarder(t, cluster.addresses[0])
	client := NewClient([]netip.AddrPort{forwarder.address()}, trust.Secret(groupSecret))
	defer client.Close()
	_, err := client.LeaderStatus(ctx) // connects
	is.NoErr(err)
	before := node.Catalog().Index
	forwarder.loseReply.Store(true)
	result, err := client.Propose(ctx, weightChange(1))
	is.NoErr(err)
	is.True(!forwarder.loseReply.Load())
	is.Equal(result, state.Result{Index: before + 1, Outcome: state.OutcomeDone})
}

// TestLateRequestDoesNotUndoLaterCommand guards against a command that takes effect
// again after a later one: its request is delayed in the network, the client proposes it
// again, and the delayed request arrives when another command has followed.
func TestLateRequestDoesNotUndoLaterCommand(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	node := cluster.nodes[cluster.leader(ctx)]
	forwarder := startForwarder(t, cluster.addresses[0])
	client := NewClient([]netip.AddrPort{forwarder.address()}, trust.Secret(groupSecret))
	defer client.Close()
	_, err := client.LeaderStatus(ctx) // connects
	is.NoErr(err)
	forwarder.delayRequest.Store(true)
	_, err = client.Propose(ctx, state.EvacuateDataCentre{Name: "north", Evacuated: true})
	is.NoErr(err)
	is.True(!forwarder.delayRequest.Load())
	_, err = client.Propose(ctx, state.EvacuateDataCentre{Name: "north", Evacuated: false})
	is.NoErr(err)
	close(forwarder.release)
	<-forwarder.answered
	is.Equal(node.Catalog().Evacuated, map[string]uint64{})
}
