package group

import (
	"net/netip"
	"testing"

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
			client.moveOn(0, testcase.hint)
			_, wire, _ := client.position()
			is.Equal(wire.address, testcase.want)
		})
	}
}

func TestClientLearnsOnce(t *testing.T) {
	is := is.New(t)
	seed, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	client := NewClient([]netip.AddrPort{seed}, trust.Secret("secret"))
	client.Learn([]netip.AddrPort{other, seed, other})
	is.Equal(len(client.all()), 2)
}
