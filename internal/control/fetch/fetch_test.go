package fetch

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// fakeSource stands in for one or several control hosts.
type fakeSource struct {
	replies  chan group.FetchReply
	switched chan struct{}
	// waits receives the requested long-poll times.
	waits chan time.Duration
}

func (fakesource *fakeSource) Fetch(_ uint64, wait time.Duration) (group.FetchReply, error) {
	select {
	case fakesource.waits <- wait:
	default:
	}
	reply, ok := <-fakesource.replies
	if !ok {
		return group.FetchReply{}, errors.New("no control host is reachable")
	}
	return reply, nil
}

func (fakesource *fakeSource) NextSource() {
	select {
	case fakesource.switched <- struct{}{}:
	default:
	}
}

func delta(t *testing.T, index uint64, host string) group.Delta {
	t.Helper()
	data, err := state.EncodeCommand(state.OpenSession{Host: state.Host{Name: host}})
	if err != nil {
		t.Fatal(err)
	}
	return group.Delta{Index: index, Command: data}
}

func newTestFollower(leaderIndex uint64) (*Follower, *fakeSource) {
	source := &fakeSource{replies: make(chan group.FetchReply), switched: make(chan struct{}, 1), waits: make(chan time.Duration, 1)}
	follower := NewFollower(source, func() uint64 { return leaderIndex }, &log.Logger{Handler: discard.New()})
	return follower, source
}

// TestCatalogNeverGoesBack guards against replies that lag behind, repeat or overtake
// each other, as they do when fetches go to different control hosts: none of them may
// set the catalog back.
func TestCatalogNeverGoesBack(t *testing.T) {
	is := is.New(t)
	follower, _ := newTestFollower(0)
	encoded, err := (&state.Catalog{Index: 1}).Encode()
	is.NoErr(err)
	old, err := codec.Compress(encoded)
	is.NoErr(err)
	for _, reply := range []group.FetchReply{
		{Upto: 3, Deltas: []group.Delta{delta(t, 2, "a"), delta(t, 3, "b")}},
		{Upto: 2, Deltas: []group.Delta{delta(t, 2, "a")}},
		{Upto: 1, Catalog: old},
		{Upto: 3, Deltas: []group.Delta{delta(t, 3, "c")}},
		{Upto: 0},
	} {
		is.NoErr(follower.apply(reply))
		is.Equal(follower.Catalog().Index, uint64(3))
		is.Equal(len(follower.Catalog().Sessions), 2)
	}
	is.NoErr(follower.apply(group.FetchReply{Upto: 9}))
	is.Equal(follower.Catalog().Index, uint64(9)) // no change of the catalog up to 9
}

func TestMalformedReplyChangesNothing(t *testing.T) {
	is := is.New(t)
	follower, _ := newTestFollower(0)
	is.True(follower.apply(group.FetchReply{Upto: 5, Catalog: []byte("garbage")}) != nil)
	is.True(follower.apply(group.FetchReply{Upto: 5, Deltas: []group.Delta{{Index: 4, Command: []byte("garbage")}}}) != nil)
	is.Equal(follower.Catalog().Index, uint64(0))
}

// TestSwitchesFromLaggingSource checks that fetches switch to another control host
// when the current one answers but lags behind an index that the leader reported
// before the fetch.
func TestSwitchesFromLaggingSource(*testing.T) {
	follower, source := newTestFollower(10)
	follower.Start()
	source.replies <- group.FetchReply{Upto: 4}
	<-source.switched
	close(source.replies)
	follower.Close()
}

// TestShortPollWhileBehind checks that fetches ask for a long poll only if the host
// knows of no change that it lacks, so that little time is lost on a partitioned
// control host.
func TestShortPollWhileBehind(t *testing.T) {
	for _, testcase := range []struct {
		name   string
		leader uint64
		want   time.Duration
	}{{"behind", 10, laggingPollTime}, {"not behind", 0, longPollTime}} {
		t.Run(testcase.name, func(t *testing.T) {
			follower, source := newTestFollower(testcase.leader)
			follower.Start()
			is.New(t).Equal(<-source.waits, testcase.want)
			close(source.replies)
			follower.Close()
		})
	}
}

func TestWatchersAreNotified(t *testing.T) {
	is := is.New(t)
	follower, _ := newTestFollower(0)
	watcher := follower.Watch()
	is.NoErr(follower.apply(group.FetchReply{Upto: 2, Deltas: []group.Delta{delta(t, 2, "a")}}))
	<-watcher
	follower.Unwatch(watcher)
	is.NoErr(follower.apply(group.FetchReply{Upto: 3, Deltas: []group.Delta{delta(t, 3, "b")}}))
	is.Equal(len(watcher), 0)
}
