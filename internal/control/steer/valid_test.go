package steer

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// TestValidate guards against values out of range, in any position of a heartbeat, that are
// stored or stand in the way of later heartbeats.
func TestValidate(t *testing.T) {
	now := time.Unix(1000, 0)
	long := strings.Repeat("x", maxTextBytes+1)
	cases := []struct {
		name   string
		change func(heartbeat *Heartbeat)
		valid  bool
	}{
		{"sound", func(*Heartbeat) {}, true},
		{"no start", func(heartbeat *Heartbeat) { heartbeat.Instance.Born = 0 }, true},
		{"started ahead of the host's clock", func(heartbeat *Heartbeat) { heartbeat.Instance.Born += time.Minute.Milliseconds() }, true},
		{"started far in the future", func(heartbeat *Heartbeat) { heartbeat.Instance.Born = math.MaxInt64 }, false},
		{"started before the epoch", func(heartbeat *Heartbeat) { heartbeat.Instance.Born = -1 }, false},
		{"no ID", func(heartbeat *Heartbeat) { heartbeat.Instance.ID = "" }, false},
		{"long ID", func(heartbeat *Heartbeat) { heartbeat.Instance.ID = long }, false},
		{"ID that is not UTF-8", func(heartbeat *Heartbeat) { heartbeat.Instance.ID = "\xff" }, false},
		{"no service", func(heartbeat *Heartbeat) { heartbeat.Instance.Service = "" }, false},
		{"long data centre", func(heartbeat *Heartbeat) { heartbeat.Instance.DataCentre = long }, false},
		{"long version", func(heartbeat *Heartbeat) { heartbeat.Instance.Version = long }, false},
		{"no address", func(heartbeat *Heartbeat) { heartbeat.Instance.Address = netip.AddrPort{} }, false},
		{"port 0", func(heartbeat *Heartbeat) { heartbeat.Instance.Address = netip.MustParseAddrPort("10.0.0.1:0") }, false},
		{"unspecified address", func(heartbeat *Heartbeat) { heartbeat.Instance.Address = netip.MustParseAddrPort("[::]:80") }, false},
		{"multicast address", func(heartbeat *Heartbeat) { heartbeat.Instance.Address = netip.MustParseAddrPort("224.0.0.1:80") }, false},
		{"address of a link", func(heartbeat *Heartbeat) { heartbeat.Instance.Address = netip.MustParseAddrPort("[fe80::1%eth0]:80") }, false},
		{"no slots", func(heartbeat *Heartbeat) { heartbeat.Instance.Slots = 0 }, false},
		{"most slots", func(heartbeat *Heartbeat) { heartbeat.Instance.Slots = maxSlots }, true},
		{"too many slots", func(heartbeat *Heartbeat) { heartbeat.Instance.Slots = maxSlots + 1 }, false},
		{"sequence that ends all others", func(heartbeat *Heartbeat) { heartbeat.Sequence = math.MaxUint64 }, false},
		{"token above all", func(heartbeat *Heartbeat) { heartbeat.Holds = []Hold{{To: 1, Fence: math.MaxUint64}} }, false},
		{"second range reversed", func(heartbeat *Heartbeat) { heartbeat.Holds = []Hold{{To: 1}, {From: 2, To: 1}} }, false},
		{"long handover", func(heartbeat *Heartbeat) { heartbeat.Released = []Release{{Handover: long}} }, false},
		{"released range reversed", func(heartbeat *Heartbeat) { heartbeat.Released = []Release{{From: 2, To: 1}} }, false},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			heartbeat := Heartbeat{Sequence: 1, Holds: []Hold{{From: 1, To: 2, Fence: 3}}, Released: []Release{{Handover: "token"}}, Instance: state.Instance{
				ID: "up", Born: now.UnixMilli(), Service: jobs, DataCentre: "here", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
			}}
			testcase.change(&heartbeat)
			err := heartbeat.Validate(now)
			is.New(t).Equal(err == nil, testcase.valid)
			is.New(t).Equal(errors.Is(err, ErrInvalidHeartbeat), !testcase.valid)
		})
	}
}
