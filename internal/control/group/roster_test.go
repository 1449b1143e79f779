package group

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

// rosterMember returns a member on the numbered host.
func rosterMember(name string, host byte) raft.Member {
	return raft.Member{ID: raft.MemberID(name), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 1)}
}

func TestRoster(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := rosterMember("a", 1), rosterMember("b", 2), rosterMember("c", 3)
	d, e, f := rosterMember("d", 4), rosterMember("e", 5), rosterMember("f", 6)
	wiped := rosterMember("e2", 5)
	five := []raft.Member{a, b, c, d, e}
	cases := []struct {
		name     string
		voters   []raft.Member
		learners []raft.Member
		joiners  []raft.Member
		silent   []raft.Member
		behind   bool
		want     ChangeArgs
	}{
		{name: "nobody joins", voters: five},
		{name: "the fourth host joins", voters: []raft.Member{a, b, c}, joiners: []raft.Member{d}, want: ChangeArgs{ChangeAdd, d}},
		{name: "a learner that has the log votes", voters: []raft.Member{a, b, c}, learners: []raft.Member{d}, want: ChangeArgs{ChangePromote, d}},
		{name: "a learner that lags does not", voters: []raft.Member{a, b, c}, learners: []raft.Member{d}, behind: true},
		{
			name: "a lost disk leaves first", voters: five, joiners: []raft.Member{wiped}, silent: []raft.Member{e},
			want: ChangeArgs{ChangeRemove, e},
		},
		{
			name: "two lost disks leave one by one", voters: five, joiners: []raft.Member{wiped}, silent: []raft.Member{d, e},
			want: ChangeArgs{ChangeRemove, e},
		},
		{
			name: "no member leaves without a quorum", voters: five, joiners: []raft.Member{wiped}, silent: []raft.Member{c, d, e},
		},
		{
			name: "a host at another address waits as a learner", voters: five, joiners: []raft.Member{f}, want: ChangeArgs{ChangeAdd, f},
		},
		{name: "and stays one while all vote", voters: five, learners: []raft.Member{f}},
		{
			name: "it takes the place of a voter that is gone", voters: five, learners: []raft.Member{f}, silent: []raft.Member{b},
			want: ChangeArgs{ChangeRemove, b},
		},
		{
			name: "a silent learner leaves", voters: five, learners: []raft.Member{f}, silent: []raft.Member{f},
			want: ChangeArgs{ChangeRemove, f},
		},
		{name: "a member that asks again changes nothing", voters: five, joiners: []raft.Member{b}},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			silent := map[raft.MemberID]bool{}
			for _, member := range testcase.silent {
				silent[member.ID] = true
			}
			view := rosterView{
				self: a.ID, members: raft.Members{Voters: testcase.voters, Learners: testcase.learners}, voters: 5, now: now,
				since: now.Add(-time.Minute), caughtUp: func(raft.MemberID) bool { return !testcase.behind },
				contact: func(id raft.MemberID) time.Time {
					if silent[id] {
						return now.Add(-time.Minute)
					}
					return now
				},
			}
			for _, member := range testcase.joiners {
				view.joiners = append(view.joiners, joiner{member: member, at: now})
			}
			change, _ := view.next()
			is.Equal(change, testcase.want)
		})
	}
}

// TestRosterWaitsForNewLeader gives members time to answer a new leader before
// they count as silent.
func TestRosterWaitsForNewLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	view := rosterView{
		self: "a", members: raft.Members{Voters: []raft.Member{rosterMember("a", 1), rosterMember("b", 2), rosterMember("c", 3)}},
		voters: 3, now: now, since: now.Add(-time.Second), contact: func(raft.MemberID) time.Time { return time.Time{} },
	}
	is.Equal(view.silent("b"), time.Second)
	is.Equal(view.silent("a"), time.Duration(0))
}
