package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainBound is the users' bound on the time after which a host that passed on an answer
// of an upstream that leaves sends it nothing more.
const drainBound = 2 * time.Second

// leaveStep is the time between two requests. Those whose key has no owner wait for one.
const leaveStep = 100 * time.Millisecond

// TestLeavingUpstreamGetsNothing guards against upstreams that say in their answers that
// they leave and go on getting requests of a host which hears nothing else of that.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	fleet := newWordFleet(t)
	fleet.leaving["up-0"], fleet.leaving["up-3"] = true, true
	for number := range int(6 * time.Second / leaveStep) {
		if number%10 == 0 { // the host hears something else of the upstreams now and then
			fleet.updateUpstreams()
		}
		fleet.request(number, number%wordUpstreams)
		fleet.clock.Advance(leaveStep)
	}
	for upstream := range fleet.leaving {
		is.Equal(len(fleet.toldAt[upstream]), 1)
		got := fleet.arrivalsBetween(upstream, fleet.toldAt[upstream][0].Add(drainBound), fleet.clock.Now())
		t.Logf("%s got %d requests after it left", upstream, got)
		is.Equal(got, 0)
	}
	fleet.leaving = map[string]bool{}
	fleet.restartUpstreams()
	is.Equal(fleet.request(0, 0).Code, http.StatusOK) // the next process
}
