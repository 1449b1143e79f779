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

// fakeSource is a control host, or several of them.
type fakeSource struct {
	replies chan group.FetchReply
	turned  chan struct{}
	// holds are the waits asked for.
	holds chan time.Duration
}

func (fakesource *fakeSource) Fetch(_ uint64, hold time.Duration) (group.FetchReply, error) {
	select {
	case fakesource.holds <- hold:
	default:
	}
	reply, ok := <-fakesource.replies
	if !ok {
		return group.FetchReply{}, errors.New("no control host answers")
	}
	return reply, nil
}

func (fakesource *fakeSource) NextSource() {
	select {
	case fakesource.turned <- struct{}{}:
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
	source := &fakeSource{replies: make(chan group.FetchReply), turned: make(chan struct{}, 1), holds: make(chan time.Duration, 1)}
	follower := NewFollower(source, func() uint64 { return leaderIndex }, &log.Logger{Handler: discard.New()})
	return follower, source
}

// TestNeverGoesBack takes replies of control hosts that lag, repeat and cross.
func TestNeverGoesBack(t *testing.T) {
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
		is.NoErr(follower.take(reply))
		is.Equal(follower.Catalog().Index, uint64(3))
		is.Equal(len(follower.Catalog().Sessions), 2)
	}
	is.NoErr(follower.take(group.FetchReply{Upto: 9}))
	is.Equal(follower.Catalog().Index, uint64(9)) // nothing of the catalog changed up to 9
}

func TestGarbageChangesNothing(t *testing.T) {
	is := is.New(t)
	follower, _ := newTestFollower(0)
	is.True(follower.take(group.FetchReply{Upto: 5, Catalog: []byte("garbage")}) != nil)
	is.True(follower.take(group.FetchReply{Upto: 5, Deltas: []group.Delta{{Index: 4, Command: []byte("garbage")}}}) != nil)
	is.Equal(follower.Catalog().Index, uint64(0))
}

// TestLeavesIsolatedSource turns to another control host when the present one
// answers but lags behind what the leader had told of before.
func TestLeavesIsolatedSource(*testing.T) {
	follower, source := newTestFollower(10)
	follower.Start()
	source.replies <- group.FetchReply{Upto: 4}
	<-source.turned
	close(source.replies)
	follower.Close()
}

// TestAsksBrieflyWhileBehind waits long for news only where none are known of, so
// that control hosts that are cut off cost little time.
func TestAsksBrieflyWhileBehind(t *testing.T) {
	for _, testcase := range []struct {
		name   string
		leader uint64
		want   time.Duration
	}{{"behind", 10, lagWait}, {"not behind", 0, wait}} {
		t.Run(testcase.name, func(t *testing.T) {
			follower, source := newTestFollower(testcase.leader)
			follower.Start()
			is.New(t).Equal(<-source.holds, testcase.want)
			close(source.replies)
			follower.Close()
		})
	}
}

func TestWatchersAreTold(t *testing.T) {
	is := is.New(t)
	follower, _ := newTestFollower(0)
	watcher := follower.Watch()
	is.NoErr(follower.take(group.FetchReply{Upto: 2, Deltas: []group.Delta{delta(t, 2, "a")}}))
	<-watcher
	follower.Unwatch(watcher)
	is.NoErr(follower.take(group.FetchReply{Upto: 3, Deltas: []group.Delta{delta(t, 3, "b")}}))
	is.Equal(len(watcher), 0)
}
