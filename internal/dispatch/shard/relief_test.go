package shard

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// TestWaitingRequestsOfMovedKey refuses requests in the queue at once when
// their key begins to move, though all slots are busy.
func TestWaitingRequestsOfMovedKey(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigKeyed, 2)
	release := make(chan struct{})
	defer close(release)
	rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Answered{Answer: state.Answer{Status: http.StatusOK}}
	}
	var works []*run
	for range 5 {
		works = append(works, rig.submit(request(rigKeyed, http.MethodPost, "")))
	}
	rig.moveKey("van-7")
	for _, work := range works[2:] {
		is.True(work.settled)
		refused, ok := (<-work.reply).(calls.Refused)
		is.True(ok)
		is.Equal(refused.Reason, calls.ReasonKeyMoving)
		is.Equal(refused.Ran, calls.RanNot)
	}
	is.True(!works[0].settled)
	is.True(!works[1].settled)
}

// TestRelief keeps requests waiting at an upstream: its keys move away once
// that has lasted, from a straggler the busiest first, from a full one not, and
// it gets new ones only after a calm time.
func TestRelief(t *testing.T) {
	for _, test := range []struct {
		name       string
		straggling bool
	}{{"straggler", true}, {"full", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, rigKeyed, 2)
			target := rig.shard.targets["up-0"]
			if test.straggling {
				rig.makeStraggler(target)
			}
			moved := make(chan state.MoveSlots, 10)
			marked := make(chan state.MarkUpstream, 10)
			rig.control.after = func(command state.Command) {
				switch command := command.(type) {
				case state.MoveSlots:
					moved <- command
				case state.MarkUpstream:
					marked <- command
				}
			}
			began := rig.clock.Now()
			rig.wait(pressureTime)
			is.Equal(len(moved), 0) // a moment's pressure moves nothing
			rig.wait(2 * reliefInterval)
			is.True(rig.clock.Now().Sub(began) < time.Second)
			is.Equal((<-marked).Full, true)
			move := <-moved
			is.True(len(move.Moves) > 0)
			busiest := state.Slot{Partition: state.PartitionOf("busy", 8)}
			is.Equal(move.Moves[0].Slot == busiest, test.straggling)
			is.Equal(move.Moves[0].To, "up-1")

			rig.shard.follow()
			target.ramp.Answer(rig.clock.Now(), 10*time.Millisecond, rig.clock.Now())
			for range int(calmTime/reliefInterval) - 1 {
				rig.clock.Advance(reliefInterval)
				rig.shard.relieve(rig.clock.Now())
			}
			is.Equal(len(marked), 0) // calm, but not for long enough
			for range 3 {
				rig.clock.Advance(reliefInterval)
				rig.shard.relieve(rig.clock.Now())
			}
			is.Equal((<-marked).Full, false)
		})
	}
}

// makeStraggler lets the upstream answer slowly whatever the load.
func (rig *rig) makeStraggler(target *target) {
	now := rig.clock.Now()
	target.ramp.Answer(now, 10*time.Millisecond, now)
	for range 20 {
		target.ramp.Answer(now, 200*time.Millisecond, now)
	}
	if !target.ramp.Straggling() {
		rig.t.Fatal("not taken for a straggler")
	}
}

// wait lets requests come in that have waited long, one key more often than
// the others.
func (rig *rig) wait(duration time.Duration) {
	for end := rig.clock.Now().Add(duration); rig.clock.Now().Before(end); {
		rig.clock.Advance(reliefInterval)
		for number := range 16 {
			key := "busy"
			if number%2 == 0 {
				key = fmt.Sprintf("key-%d", number)
			}
			slot := state.Slot{Partition: state.PartitionOf(key, 8)}
			rig.shard.relief.observe(slot, 2*pressureWait)
		}
		rig.shard.relieve(rig.clock.Now())
	}
}
