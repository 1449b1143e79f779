package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

// inBubble runs a case of a test in a synctest bubble.
func inBubble(t *testing.T, name string, run func(*testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
}

// held returns the number of permits that a primary has granted or queued.
func (primary *Primary) held() int {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	return len(primary.leases)
}

// releasing returns the number of primaries for which the host has releases.
func (client *Client) releasing() int {
	client.releases.mutex.Lock()
	defer client.releases.mutex.Unlock()
	return len(client.releases.queues)
}

// TestLostReleaseIsRepeated guards against slots that stay occupied until after the deadline
// because the message that releases them was lost, and against releases that are kept for
// permits that have expired.
func TestLostReleaseIsRepeated(t *testing.T) {
	cases := []struct {
		name      string
		silentFor time.Duration
		held      int
	}{
		{"the link is lost for a moment", 300 * time.Millisecond, 0},
		{"the primary is lost until the permits have expired", 3 * time.Second, 3},
	}
	for _, testcase := range cases {
		inBubble(t, testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 2)
			number := fleet.primaryOf(t)
			primary, client := fleet.clients[number].localPrimary, fleet.clients[1-number]
			var permits []*Permit
			for range 3 {
				permit, refusal := client.Acquire(t.Context(), fleet.newJob())
				is.Equal(refusal, nil)
				permits = append(permits, permit)
			}
			setSilent := func(silent bool) {
				fleet.network.mutex.Lock()
				defer fleet.network.mutex.Unlock()
				fleet.network.silent[fleet.entries[number].Peer] = silent
			}
			setSilent(true)
			for _, permit := range permits {
				permit.Release(admit.ResultAnswered, nil)
			}
			lostAt := fleet.clock.Now()
			for client.releasing() > 0 { // until they have been acknowledged or dropped
				setSilent(fleet.clock.Now().Sub(lostAt) < testcase.silentFor)
				fleet.advance(time.Millisecond)
			}
			is.Equal(primary.held(), testcase.held)
		})
	}
}

// TestFormerPrimary guards against hosts that get no permits from a primary of the previous
// version, or whose releases it does not understand.
func TestFormerPrimary(t *testing.T) { synctest.Test(t, testFormerPrimary) }

func testFormerPrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	number := fleet.primaryOf(t)
	fleet.network.former = true
	for range 4 {
		permit, refusal := fleet.clients[1-number].Acquire(t.Context(), fleet.newJob())
		is.Equal(refusal, nil)
		is.Equal(permit.Source, fleet.entries[number].Name)
		permit.Release(admit.ResultAnswered, nil)
		fleet.awaitReleases()
	}
	is.Equal(fleet.network.unknown, 1) // it is not asked in vain again
	fleet.settle()
}

// TestLatePrimaryIsAskedLess guards against a link that stays congested because its host is
// asked as often as before, and against a primary that is never asked again.
func TestLatePrimaryIsAskedLess(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	number := fleet.primaryOf(t)
	client, entry := fleet.clients[1-number], fleet.entries[number]
	asked := func() int {
		count := 0
		for range 80 {
			if client.mayAsk(entry) {
				count++
			}
		}
		return count
	}
	is.Equal(asked(), 80)
	for range 5 {
		client.recordReply(entry, time.Second)
	}
	is.Equal(asked(), 80/tryEach)
	for range 10 {
		client.recordReply(entry, 10*time.Millisecond)
	}
	is.Equal(asked(), 80)
}

// TestSuspectedPrimaryIsTried guards against hosts that redirect all requests to the next
// host, so that a primary that was lost for a moment gets none.
func TestSuspectedPrimaryIsTried(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	number := fleet.primaryOf(t)
	client, entry := fleet.clients[(number+1)%3], fleet.entries[number]
	client.suspect(entry, errSilent)
	count := 0
	for range 80 {
		if chosen, _ := client.choose(fleet.target.Owner.ID, "here"); chosen.Name == entry.Name {
			count++
		}
	}
	is.Equal(count, 80/tryEach)
}
