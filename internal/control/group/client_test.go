package group

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

func TestClientFollowsHints(t *testing.T) {
	seed, other, leader := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.9:1")
	cases := []struct {
		name string
		hint string
		want netip.AddrPort
	}{
		{"a known leader", other.String(), other},
		{"a leader that is not among the seeds", leader.String(), leader},
		{"no hint", "", other},
		{"a hint that is no address", "nobody", other},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient([]netip.AddrPort{seed, other}, trust.Secret("secret"))
			client.leader = 0
			client.moveOn(0, testcase.hint, time.Unix(1000, 0))
			_, wire, _ := client.position()
			is.Equal(wire.address, testcase.want)
		})
	}
}

// TestSilentLeaderIsLeft freezes the leader: followers go on to name it until they
// have elected another one, but it is asked no more.
func TestSilentLeaderIsLeft(t *testing.T) {
	is := is.New(t)
	frozen, follower, elected := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	client := NewClient([]netip.AddrPort{frozen, follower, elected}, trust.Secret("secret"))
	now := time.Unix(1000, 0)
	client.leader = 0
	client.wires[0].noteSilent(now)
	for range 3 {
		position, _, _ := client.position()
		client.moveOn(position, frozen.String(), now.Add(suspectTime/2))
		_, wire, _ := client.position()
		is.True(wire.address != frozen)
	}
	position, _, _ := client.position()
	client.moveOn(position, elected.String(), now.Add(suspectTime/2))
	_, wire, _ := client.position()
	is.Equal(wire.address, elected)
	// It may lead again later.
	client.moveOn(2, frozen.String(), now.Add(2*suspectTime))
	_, wire, _ = client.position()
	is.Equal(wire.address, frozen)
}

func TestClientLearnsOnce(t *testing.T) {
	is := is.New(t)
	seed, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	client := NewClient([]netip.AddrPort{seed}, trust.Secret("secret"))
	client.Learn([]netip.AddrPort{other, seed, other})
	is.Equal(len(client.all()), 2)
}

// TestLateCallLeavesFetches ends the connection of short calls, as after one that
// was late, and looks whether fetches have another one.
func TestLateCallLeavesFetches(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	cluster.leader(ctx)
	fetched := make(chan error, 1)
	go func() {
		_, err := cluster.client.Fetch(1<<40, time.Second) // waits for news that do not come
		fetched <- err
	}()
	for cluster.client.fetches[0].open() == nil && ctx.Err() == nil {
		<-time.After(time.Millisecond)
	}
	_, err := cluster.client.LeaderStatus(ctx)
	is.NoErr(err)
	wire := cluster.client.wires[0]
	wire.drop(wire.open())
	is.NoErr(<-fetched)
}
