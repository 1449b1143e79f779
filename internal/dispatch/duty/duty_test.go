package duty

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
)

// fakeControl applies commands to its own state machine.
type fakeControl struct {
	mutex   sync.Mutex
	machine *state.Machine
	// proposed receives each proposed command.
	proposed chan state.Command
}

func (fakecontrol *fakeControl) Propose(_ context.Context, command state.Command) (state.Result, error) {
	result := fakecontrol.commit(command)
	fakecontrol.proposed <- command
	return result, nil
}

func (fakecontrol *fakeControl) commit(command state.Command) state.Result {
	fakecontrol.mutex.Lock()
	defer fakecontrol.mutex.Unlock()
	return fakecontrol.machine.Apply(fakecontrol.machine.Catalog.Index+1, command)
}

func (fakecontrol *fakeControl) catalog() *state.Catalog {
	fakecontrol.mutex.Lock()
	defer fakecontrol.mutex.Unlock()
	return fakecontrol.machine.Catalog
}

// fakeLease is a valid lease.
type fakeLease struct{ epoch uint64 }

func (fakelease *fakeLease) Valid() bool   { return true }
func (fakelease *fakeLease) Epoch() uint64 { return fakelease.epoch }

// TestAllocatorReleaseNamesItsEpoch moves a quota shard away and back, and repeats the
// first release, as a proposer does whose reply was lost. The repetition released the
// shard from the allocator that had just begun, and the next one began beside it.
func TestAllocatorReleaseNamesItsEpoch(t *testing.T) {
	is := is.New(t)
	records, err := spec.ParseDocument([]byte(`
[[workspace]]
name = "w"
schema = 1
version = 1
[[rate]]
name = "w"
schema = 1
version = 1
workspace = "w"
perSecond = 10
burst = 8
`), spec.FormatTOML)
	is.NoErr(err)
	control := &fakeControl{machine: state.NewMachine(), proposed: make(chan state.Command, 1)}
	control.commit(state.ApplyRecords{Records: records})
	session := control.commit(state.OpenSession{Host: state.Host{Name: "h0"}})
	other := control.commit(state.OpenSession{Host: state.Host{Name: "h1"}})
	id := state.QuotaShard("w")
	moveTo := func(host string) {
		control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Epoch: control.catalog().Shards[id].Epoch, Host: host}}})
	}
	moveTo("h0")
	watch := make(chan struct{}, 1)
	manager := New(shard.Env{
		Host: "h0", Lease: &fakeLease{epoch: session.Index}, Catalog: control.catalog, Control: control,
		Clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
	}, nil, watch)
	defer manager.Close()
	moveTo("h1")
	watch <- struct{}{}
	release := <-control.proposed
	is.Equal(control.catalog().Shards[id].Host, "h1")
	moveTo("h0")
	control.commit(state.ReleaseShards{Session: other.Index, Epoch: control.catalog().Shards[id].Epoch, Shards: []state.ShardID{id}})
	control.commit(release)
	is.Equal(control.catalog().Shards[id].Host, "h0")
}
