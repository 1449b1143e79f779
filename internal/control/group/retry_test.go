package group

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// cutter forwards connections to a control host. While cut is set, the next bytes
// that the host sends close their connection instead, which clears cut.
type cutter struct {
	listener net.Listener
	host     string
	cut      atomic.Bool
}

func startCutter(t *testing.T, host netip.AddrPort) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cutter := &cutter{listener: listener, host: host.String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go cutter.forward(conn)
		}
	}()
	return cutter
}

func (cutter *cutter) address() netip.AddrPort {
	return netip.MustParseAddrPort(cutter.listener.Addr().String())
}

func (cutter *cutter) forward(conn net.Conn) {
	defer conn.Close()
	host, err := net.Dial("tcp", cutter.host)
	if err != nil {
		return
	}
	defer host.Close()
	go func() {
		defer host.Close()
		_, _ = io.Copy(host, conn)
	}()
	buffer := make([]byte, 4096)
	for {
		count, err := host.Read(buffer)
		if err != nil || cutter.cut.CompareAndSwap(true, false) {
			return
		}
		if _, err := conn.Write(buffer[:count]); err != nil {
			return
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
	cutter := startCutter(t, cluster.addresses[0])
	client := NewClient([]netip.AddrPort{cutter.address()}, trust.Secret(groupSecret))
	defer client.Close()
	_, err := client.LeaderStatus(ctx) // connects
	is.NoErr(err)
	before := node.Catalog().Index
	cutter.cut.Store(true)
	result, err := client.Propose(ctx, weightChange(1))
	is.NoErr(err)
	is.True(!cutter.cut.Load())
	is.Equal(result, state.Result{Index: before + 1, Outcome: state.OutcomeDone})
}
