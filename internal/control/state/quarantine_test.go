package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUpdateSuspects checks what counts as an end of its own, and how long suspects and
// quarantined requests stay.
func TestUpdateSuspects(t *testing.T) {
	start := time.Unix(1000, 0)
	loss := func(content, upstream string, after time.Duration) RecordSuspect {
		return RecordSuspect{Fingerprint: content, Upstream: upstream, At: start.Add(after)}
	}
	update := func(losses ...RecordSuspect) Command { return UpdateSuspects{Lost: losses} }
	quarantined := update(loss("c", "a", 0), loss("c", "b", 0), loss("c", "d", 0))
	cases := []struct {
		name        string
		commands    []Command
		ends        int
		quarantined bool
	}{
		{"two ends", []Command{update(loss("c", "a", 0), loss("c", "b", 0))}, 2, false},
		{"one end reported by two hosts", []Command{update(loss("c", "a", 0)), update(loss("c", "a", 0)), update(loss("c", "a", 0))}, 1, false},
		{"three ends", []Command{quarantined}, 3, true},
		{"ends bounded", []Command{quarantined, update(loss("c", "e", 0), loss("c", "f", 0), loss("c", "g", 0), loss("c", "h", 0), loss("c", "i", 0), loss("c", "j", 0))}, 8, true},
		{"cleared", []Command{quarantined, UpdateSuspects{Cleared: []string{"c"}}}, 0, false},
		{"cleared together with another end", []Command{UpdateSuspects{Lost: []RecordSuspect{loss("c", "a", 0)}, Cleared: []string{"c"}}}, 0, false},
		{"suspect forgotten", []Command{update(loss("c", "a", 0)), update(loss("other", "a", quarantineTTL+time.Second))}, 0, false},
		{"quarantined kept", []Command{quarantined, update(loss("other", "a", 100*quarantineTTL))}, 3, true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			suspect := applyInOrder(&Catalog{}, testcase.commands...).Quarantine["c"]
			is.Equal(len(suspect.Upstreams), testcase.ends)
			is.Equal(suspect.QuarantinedDirect(), testcase.quarantined)
		})
	}
}

// TestSuspectsAreBounded guards against a catalog that grows with each upstream that ends,
// and against dropping a quarantined request for one that was only near.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	command := UpdateSuspects{}
	for number := range DirectQuarantineThreshold {
		command.Lost = append(command.Lost, RecordSuspect{Fingerprint: "c", Upstream: fmt.Sprint(number), At: time.Unix(1, 0)})
	}
	catalog := applyInOrder(&Catalog{}, command)
	for number := range 2 * maxSuspects {
		catalog = applyInOrder(catalog, UpdateSuspects{Lost: []RecordSuspect{{Fingerprint: fmt.Sprint("near-", number), Upstream: "a", At: time.Unix(2, 0)}}})
	}
	is.Equal(len(catalog.Quarantine), maxSuspects)
	is.True(catalog.Quarantine["c"].QuarantinedDirect())
}
