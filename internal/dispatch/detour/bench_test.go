package detour

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// linkFleet lets the first host of a fleet call the second one over a link.
type linkFleet struct {
	*fleet

	address netip.AddrPort
}

func newLinkFleet(b *testing.B) *linkFleet {
	b.Helper()
	fleet := &linkFleet{fleet: newFleet(b, 2), address: netip.MustParseAddrPort("127.0.0.1:17661")}
	secret := trust.Secret("a secret of the benchmark's hosts")
	server, err := links.Listen(fleet.address, secret, fleet.hosts[1].Serve, func([]byte) []byte { return nil }, &log.Logger{Handler: discard.New()})
	if err != nil {
		b.Fatal(err)
	}
	client, err := links.NewClient(secret, func(netip.AddrPort, []byte) {})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	fleet.hosts[0].Caller = client
	fleet.hosts[0].Others = func(admit.Target, string) []state.Entry { return []state.Entry{{Name: "b", Peer: fleet.address}} }
	return fleet
}

// BenchmarkSend compares a request on the host's own path with one through another host,
// both with a stand-in upstream that answers at once.
func BenchmarkSend(b *testing.B) {
	for _, benchmark := range []struct {
		name string
		cut  bool
	}{{"own path", false}, {"through another host", true}} {
		b.Run(benchmark.name, func(b *testing.B) {
			fleet := newLinkFleet(b)
			fleet.hosts[0].cut.Store(benchmark.cut)
			var failed atomic.Int64
			b.SetParallelism(1)
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					if fleet.send(context.Background()).Failure != nil {
						failed.Add(1)
					}
				}
			})
			if failed.Load() > 1 { // the one that finds the path broken
				b.Fatalf("%d requests failed", failed.Load())
			}
		})
	}
}
