package admit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// TestTicketOutlivesUpstream removes an upstream and enters it again while a request to it
// runs. The end of that request was counted for the upstream's new entry, which went on
// to get one request too many for as long as it stayed.
func TestTicketOutlivesUpstream(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewExclusiveScheduler(clock, 1)
	target := Target{
		Owner: spans.Owner{ID: "up", Born: 1}, Service: "desk", Slots: 1, DataCentre: "here", Address: netip.MustParseAddrPort("10.0.1.1:80"),
	}
	job := Job{Service: "desk", Goal: clock.Now().Add(time.Second), Deadline: clock.Now().Add(time.Minute)}
	scheduler.Update("desk", []Target{target}, spans.Table{})
	earlier, refusal := scheduler.Acquire(t.Context(), job)
	is.Equal(refusal, nil)
	scheduler.Update("desk", nil, spans.Table{})
	scheduler.Update("desk", []Target{target}, spans.Table{})
	_, refusal = scheduler.Acquire(t.Context(), job)
	is.Equal(refusal, nil)
	earlier.Release(ResultAnswered, nil)
	queued, refusal := scheduler.Enqueue(job)
	is.Equal(refusal, nil)
	ticket, refusal := queued.Poll()
	is.Equal(ticket, nil) // the upstream's slot is in use
	is.Equal(refusal, nil)
}
