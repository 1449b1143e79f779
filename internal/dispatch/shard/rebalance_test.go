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

// TestMovingKeyRefusesWaiting checks that waiting requests are refused immediately
// when their key starts to move, even while all slots are busy.
func TestMovingKeyRefusesWaiting(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	release := make(chan struct{})
	defer close(release)
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	var jobs []*job
	for range 5 {
		jobs = append(jobs, harness.submit(newRequest(keyedService, http.MethodPost, "")))
	}
	harness.moveKey("van-7")
	for _, job := range jobs[2:] {
		is.True(job.responded)
		refusal, ok := (<-job.reply).(calls.Refusal)
		is.True(ok)
		is.Equal(refusal.Reason, calls.ReasonKeyMoving)
		is.Equal(refusal.Ran, calls.RanNot)
	}
	is.True(!jobs[0].responded)
	is.True(!jobs[1].responded)
}

// TestRebalance overloads an upstream. Once the overload has lasted, its keys must
// move away: those of a straggler starting with the busiest slot, those of a full
// upstream without the busiest slot. The upstream must count as full until the
// recovery time has passed.
func TestRebalance(t *testing.T) {
	for _, test := range []struct {
		name       string
		straggling bool
	}{{"straggler", true}, {"full", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, keyedService, 2)
			target := harness.shard.targets["up-0"]
			if test.straggling {
				harness.makeStraggler(target)
			}
			moved := make(chan state.MoveSlots, 10)
			marked := make(chan state.SetUpstreamFull, 10)
			harness.control.after = func(command state.Command) {
				switch command := command.(type) {
				case state.MoveSlots:
					moved <- command
				case state.SetUpstreamFull:
					marked <- command
				}
			}
			start := harness.clock.Now()
			harness.overload(overloadTime)
			is.Equal(len(moved), 0) // a short overload moves nothing
			harness.overload(2 * rebalanceInterval)
			is.True(harness.clock.Now().Sub(start) < time.Second)
			is.Equal((<-marked).Full, true)
			move := <-moved
			is.True(len(move.Moves) > 0)
			busiest := state.Slot{Partition: state.PartitionOf("busy", 8)}
			is.Equal(move.Moves[0].Slot == busiest, test.straggling)
			is.Equal(move.Moves[0].To, "up-1")

			harness.shard.syncCatalog()
			target.ramp.RecordAnswer(harness.clock.Now(), 10*time.Millisecond, harness.clock.Now())
			for range int(recoveryTime/rebalanceInterval) - 1 {
				harness.clock.Advance(rebalanceInterval)
				harness.shard.rebalance(harness.clock.Now())
			}
			is.Equal(len(marked), 0) // not overloaded, but not for long enough
			for range 3 {
				harness.clock.Advance(rebalanceInterval)
				harness.shard.rebalance(harness.clock.Now())
			}
			is.Equal((<-marked).Full, false)
		})
	}
}

// makeStraggler makes the upstream answer slowly regardless of load.
func (harness *harness) makeStraggler(target *target) {
	now := harness.clock.Now()
	target.ramp.RecordAnswer(now, 10*time.Millisecond, now)
	for range 20 {
		target.ramp.RecordAnswer(now, 200*time.Millisecond, now)
	}
	if !target.ramp.Straggling() {
		harness.t.Fatal("the upstream does not count as a straggler")
	}
}

// overload counts requests that waited too long over the given time, half of them
// for one key.
func (harness *harness) overload(duration time.Duration) {
	for end := harness.clock.Now().Add(duration); harness.clock.Now().Before(end); {
		harness.clock.Advance(rebalanceInterval)
		for number := range 16 {
			key := "busy"
			if number%2 == 0 {
				key = fmt.Sprintf("key-%d", number)
			}
			slot := state.Slot{Partition: state.PartitionOf(key, 8)}
			harness.shard.rebalancer.observe(slot, 2*overloadWait)
		}
		harness.shard.rebalance(harness.clock.Now())
	}
}
