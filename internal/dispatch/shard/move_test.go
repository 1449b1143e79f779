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

// moveKey starts a move of the key to the second upstream.
func (harness *harness) moveKey(key string) {
	harness.control.commit(state.MoveSlots{Service: keyedService, Moves: []state.SlotMove{{Slot: state.Slot{Key: key}, To: "up-1"}}})
	harness.shard.syncCatalog()
}

// TestMoveWaitsForRunning moves a key while a request for it is running. New
// requests must be refused as not run. The new owner must get the key only after
// the running request has ended and the old owner has confirmed a grant without
// the key.
func TestMoveWaitsForRunning(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	release := make(chan struct{})
	sending := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		close(sending)
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	first := harness.submit(newRequest(keyedService, http.MethodPost, "k"))
	<-sending
	harness.moveKey("van-7")
	refusal, ok := harness.outcome(harness.submit(newRequest(keyedService, http.MethodPost, "k2"))).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonKeyMoving)
	is.Equal(refusal.Ran, calls.RanNot)
	harness.grant()
	is.True(!harness.shard.targets["up-0"].releasePending) // the request is still running
	close(release)
	_, ok = harness.outcome(first).(calls.Response)
	is.True(ok)
	harness.grant()
	harness.receiveUntil(func() bool { return count[state.ReleaseSlots](harness.control) == 1 })
	_, owner := harness.control.catalog().Tables[keyedService].Find("van-7")
	is.Equal(owner.Upstream, "up-1")
	is.Equal(harness.upstreams.grants[upstreamAddress(0)].Excluded, []string{"van-7"}) // the old owner's grant excludes the key
}

// renewUntil advances the clock to 1 ms before the given time while grant renewals
// fail.
func (harness *harness) renewUntil(end time.Time) {
	harness.t.Helper()
	for harness.clock.Now().Add(GrantInterval).Before(end) {
		harness.clock.Advance(GrantInterval)
		harness.shard.renewGrants(harness.clock.Now())
		harness.receiveUntil(func() bool { return !harness.shard.targets["up-0"].grants.pending })
	}
	harness.clock.Advance(end.Sub(harness.clock.Now()) - time.Millisecond)
	harness.shard.renewGrants(harness.clock.Now())
}

// TestMoveWaitsForConfirmation checks that a key is not moved away from an owner
// that does not answer until all grants of that owner have expired.
func TestMoveWaitsForConfirmation(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	harness.upstreams.kill(upstreamAddress(0))
	harness.moveKey("van-7")
	harness.shard.renewGrants(harness.clock.Now())
	harness.receive()
	is.Equal(count[state.ReleaseSlots](harness.control), 0)
	lost := make(chan struct{})
	harness.control.after = func(command state.Command) {
		if _, ok := command.(state.RemoveUpstream); ok {
			close(lost)
		}
	}
	harness.renewUntil(harness.shard.targets["up-0"].grants.latestExpiry)
	is.True(!harness.shard.targets["up-0"].grants.lossReported) // a grant may still be valid
	harness.clock.Advance(time.Millisecond)
	harness.shard.renewGrants(harness.clock.Now())
	<-lost
	_, owner := harness.control.catalog().Tables[keyedService].Find("van-7")
	is.Equal(owner.Upstream, "up-1")
}

// TestLostUpstreamIsNotGrantedAgain delays the commit of an upstream's loss and lets
// the upstream answer meanwhile. The commit gives its keys away, so a grant that is
// made after the loss was decided leaves two upstreams that may serve them.
func TestLostUpstreamIsNotGrantedAgain(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	harness.upstreams.kill(upstreamAddress(0))
	proposed, commit, committed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	harness.control.before = func(command state.Command) error {
		if _, ok := command.(state.RemoveUpstream); ok {
			close(proposed)
			<-commit
		}
		return nil
	}
	harness.control.after = func(command state.Command) {
		if _, ok := command.(state.RemoveUpstream); ok {
			close(committed)
		}
	}
	target := harness.shard.targets["up-0"]
	harness.renewUntil(target.grants.latestExpiry)
	harness.clock.Advance(time.Millisecond)
	harness.shard.renewGrants(harness.clock.Now())
	<-proposed
	harness.receiveUntil(func() bool { return !target.grants.pending })
	harness.upstreams.revive(upstreamAddress(0))
	for range 3 {
		harness.clock.Advance(GrantInterval)
		harness.grant()
	}
	close(commit)
	<-committed
	_, owner := harness.control.catalog().Tables[keyedService].Find("van-7")
	is.Equal(owner.Upstream, "")                                     // the keys are free to be given to another upstream
	is.True(!harness.clock.Now().Before(target.grants.latestExpiry)) // and no grant for them is in force
}

// TestPrimaryPauseIsNotUpstreamLoss pauses the primary itself for longer than the
// grant TTL. The upstream must not be reported lost, and must have a valid grant
// again after the next renewals.
func TestPrimaryPauseIsNotUpstreamLoss(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	harness.clock.Advance(10 * GrantTTL)
	harness.grant()
	is.True(!harness.shard.targets["up-0"].grants.lossReported)
	harness.clock.Advance(GrantInterval)
	harness.grant()
	is.True(harness.shard.targets["up-0"].hasGrant(harness.clock.Now()))
	is.Equal(count[state.RemoveUpstream](harness.control), 0)
}

// TestSilentUpstreamIsReportedInTime bounds the time from an upstream's last
// answer to the proposal of its loss. It is part of the one second within which
// the upstream's keys must be served again.
func TestSilentUpstreamIsReportedInTime(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	harness.upstreams.kill(upstreamAddress(0))
	start := harness.clock.Now()
	lost := make(chan struct{})
	harness.control.after = func(command state.Command) {
		if _, ok := command.(state.RemoveUpstream); ok {
			close(lost)
		}
	}
	for !harness.shard.targets["up-0"].grants.lossReported {
		harness.clock.Advance(idleInterval)
		harness.shard.renewGrants(harness.clock.Now())
		harness.receiveUntil(func() bool { return !harness.shard.targets["up-0"].grants.pending })
	}
	<-lost
	is.True(harness.clock.Now().Sub(start) <= 700*time.Millisecond) // leaves 300 ms for commit, fetch and grant
}

// TestUpstreamLossCancelsRequests checks that a request running at a lost
// upstream, read or write, is cancelled and refused with an unknown outcome before
// its deadline.
func TestUpstreamLossCancelsRequests(t *testing.T) {
	for _, test := range []struct {
		method string
		key    string
		reason calls.Reason
	}{
		{http.MethodGet, "", calls.ReasonUpstreamLost},
		{http.MethodPost, "k", calls.ReasonUpstreamLost},
	} {
		t.Run(test.method, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, keyedService, 2)
			sending := make(chan struct{})
			harness.upstreams.send = func(ctx context.Context, _ upstr.Call) upstr.Result {
				close(sending)
				<-ctx.Done()
				return upstr.TimedOut{Err: ctx.Err()}
			}
			job := harness.submit(newRequest(keyedService, test.method, test.key))
			<-sending
			target := harness.shard.targets["up-0"]
			harness.control.commit(state.RemoveUpstream{
				ID: target.upstream.ID, Epoch: target.upstream.Epoch, Shard: harness.shard.id, ShardEpoch: harness.shard.epoch,
			})
			harness.shard.syncCatalog()
			refusal, ok := harness.outcomeInTime(job).(calls.Refusal)
			is.True(ok)
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Ran, calls.RanUnknown)
		})
	}
}

// TestHandover moves the shard to another host while two requests run and another
// one waits.
func TestHandover(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	release := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	var jobs []*job
	for range 3 {
		jobs = append(jobs, harness.submit(newRequest(unkeyedService, http.MethodGet, "")))
	}
	harness.control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: harness.shard.id, Epoch: harness.shard.epoch, Host: "host-1"}}})
	harness.shard.syncCatalog()
	harness.shard.handOver()
	refusal, ok := harness.outcome(jobs[2]).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonShardMoved)
	is.Equal(refusal.Ran, calls.RanNot)
	is.Equal(count[state.ReleaseShards](harness.control), 0) // two requests are still running
	close(release)
	for _, job := range jobs[:2] {
		_, ok = harness.outcome(job).(calls.Response)
		is.True(ok)
	}
	harness.shard.handOver()
	harness.receiveUntil(func() bool { return harness.shard.released })
	is.Equal(harness.control.catalog().Shards[harness.shard.id].Host, "host-1")
	is.True(harness.shard.ended())
}

// TestRepeatedReleaseKeepsLaterTenure loses the reply to a release and moves the shard
// back before the release is proposed again. The repetition released the shard from
// the primary that had just begun, and the next one began beside it.
func TestRepeatedReleaseKeepsLaterTenure(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	id := harness.shard.id
	shardOf := func() state.Shard { return harness.control.catalog().Shards[id] }
	lost := false
	harness.control.before = func(command state.Command) error {
		if _, ok := command.(state.ReleaseShards); !ok || lost {
			return nil
		}
		lost = true
		harness.control.commit(command)
		harness.control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Epoch: shardOf().Epoch, Host: testHost}}})
		harness.control.commit(state.ReleaseShards{Session: shardOf().Session, Epoch: shardOf().Epoch, Shards: []state.ShardID{id}})
		return errInjected
	}
	harness.control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Epoch: harness.shard.epoch, Host: "host-1"}}})
	harness.shard.syncCatalog()
	harness.shard.handOver()
	harness.receiveUntil(func() bool { return harness.shard.released })
	is.Equal(count[state.ReleaseShards](harness.control), 3)
	is.Equal(shardOf().Host, testHost)
	is.True(shardOf().Epoch > harness.shard.epoch)
}

// TestRefusesWhenNotPrimary checks that requests are refused as not run if the
// host is not, or no longer, the shard's primary, or has no upstream left.
func TestRefusesWhenNotPrimary(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(harness *harness)
		reason calls.Reason
	}{
		{"lease ended", func(harness *harness) { harness.lease.end() }, calls.ReasonLeaseLost},
		{"session closed", func(harness *harness) {
			harness.control.commit(state.CloseSession{Host: testHost, Epoch: harness.lease.epoch})
		}, calls.ReasonShardMoved},
		{"new session", func(harness *harness) { harness.lease.epoch++ }, calls.ReasonShardMoved},
		{"all upstreams gone", func(harness *harness) {
			target := harness.shard.targets["up-0"]
			harness.control.commit(state.RemoveUpstream{
				ID: target.upstream.ID, Epoch: target.upstream.Epoch, Shard: harness.shard.id, ShardEpoch: harness.shard.epoch,
			})
			harness.shard.syncCatalog()
		}, calls.ReasonNoUpstream},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 1)
			test.fault(harness)
			refusal, ok := harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))).(calls.Refusal)
			is.True(ok)
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Ran, calls.RanNot)
			is.Equal(harness.upstreams.calls(), 0)
		})
	}
}

// TestOutOfServiceGetsNoRequests takes an upstream, or its data centre, out of
// service and checks that no request is sent there.
func TestOutOfServiceGetsNoRequests(t *testing.T) {
	for _, document := range []string{
		"[[upstream]]\nname = \"dispatchdesk/up-0\"\nschema = 1\nversion = 1\ninService = false\n",
		"[[dataCentre]]\nname = \"zarqa\"\nschema = 2\nversion = 1\ninService = false\n",
	} {
		t.Run(document, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 1)
			harness.apply(document)
			harness.shard.syncCatalog()
			harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
			is.Equal(len(harness.shard.running), 0)
			is.Equal(harness.upstreams.calls(), 0)
		})
	}
}

// TestUpstreamChangesAddress checks that an upstream at a new address gets a grant
// only after the grants of the old process under the same name have expired.
func TestUpstreamChangesAddress(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 1)
	current := harness.shard.targets["up-0"].upstream
	until := harness.shard.targets["up-0"].grants.latestExpiry
	current.Address = upstreamAddress(5)
	harness.control.commit(state.RegisterUpstream{Upstream: current})
	harness.shard.syncCatalog()
	harness.grant()
	is.True(harness.shard.targets["up-0"].grants.confirmedUntil.get().IsZero()) // not granted yet
	harness.clock.Advance(until.Sub(harness.clock.Now()))
	for range 2 {
		harness.shard.targets["up-0"].grants.renewNow = true
		harness.grant()
	}
	is.True(harness.shard.targets["up-0"].hasGrant(harness.clock.Now()))
	is.Equal(fmt.Sprint(len(harness.upstreams.grants[upstreamAddress(5)].Slots)), "8")
}

// TestStampOfEarlierProcessIsNotUsed replaces an upstream's process, which has not announced
// itself yet, while a key moves. The new process was sent the new list of keys with a
// lifetime from a stamp of the earlier one's clock, which may lie far ahead on its own.
func TestStampOfEarlierProcessIsNotUsed(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 2)
	harness.upstreams.incarnation = "two"
	harness.clock.Advance(GrantInterval)
	harness.grant() // the answer shows that another process listens
	timed := harness.upstreams.timed
	harness.moveKey("van-8")
	for range 3 {
		harness.clock.Advance(GrantInterval)
		harness.grant()
	}
	is.Equal(harness.upstreams.timed, timed)
}

// TestUpstreamChangesAddressTwice announces an upstream at a second address, and then
// again before the grants of its first process have expired: at a third address, or
// with other slots. The wait for those grants was forgotten, so that two processes
// could serve the same keys.
func TestUpstreamChangesAddressTwice(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(upstream *state.Upstream)
	}{
		{"third address", func(upstream *state.Upstream) { upstream.Address = upstreamAddress(6) }},
		{"same address, other slots", func(upstream *state.Upstream) { upstream.Slots++ }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, keyedService, 1)
			current := harness.shard.targets["up-0"].upstream
			until := harness.shard.targets["up-0"].grants.latestExpiry
			current.Address = upstreamAddress(5)
			harness.control.commit(state.RegisterUpstream{Upstream: current})
			harness.shard.syncCatalog()
			test.change(&current)
			harness.control.commit(state.RegisterUpstream{Upstream: current})
			harness.shard.syncCatalog()
			harness.grant()
			is.True(harness.clock.Now().Before(until))
			is.True(harness.shard.targets["up-0"].grants.confirmedUntil.get().IsZero()) // not granted yet
		})
	}
}
