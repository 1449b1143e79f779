package group

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

// testMember returns a member with the given ID on the numbered host.
func testMember(name string, host byte) raft.Member {
	return raft.Member{ID: raft.MemberID(name), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 1)}
}

func TestNextMembershipChange(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := testMember("a", 1), testMember("b", 2), testMember("c", 3)
	d, e, f := testMember("d", 4), testMember("e", 5), testMember("f", 6)
	wiped := testMember("e2", 5)
	five := []raft.Member{a, b, c, d, e}
	cases := []struct {
		name         string
		voters       []raft.Member
		learners     []raft.Member
		joiners      []raft.Member
		leavers      []raft.Member
		unresponsive []raft.Member
		behind       bool
		want         ChangeArgs
		// losses is how many further losses the group bears before the change.
		losses int
	}{
		{name: "no join requests", voters: five, losses: 2},
		{name: "fourth host becomes a learner", losses: 1, voters: []raft.Member{a, b, c}, joiners: []raft.Member{d}, want: ChangeArgs{ChangeAdd, d}},
		{name: "caught-up learner becomes a voter", losses: 1, voters: []raft.Member{a, b, c}, learners: []raft.Member{d}, want: ChangeArgs{ChangePromote, d}},
		{name: "lagging learner stays a learner", losses: 1, voters: []raft.Member{a, b, c}, learners: []raft.Member{d}, behind: true},
		{
			name: "member with a replaced disk is removed first", losses: 1, voters: five, joiners: []raft.Member{wiped}, unresponsive: []raft.Member{e},
			want: ChangeArgs{ChangeRemove, e},
		},
		{
			name: "of two lost disks only the one with a join request is removed", voters: five, joiners: []raft.Member{wiped}, unresponsive: []raft.Member{d, e},
			want: ChangeArgs{ChangeRemove, e},
		},
		{
			name: "no removal that would lose the quorum", voters: five, joiners: []raft.Member{wiped}, unresponsive: []raft.Member{c, d, e},
		},
		{
			name: "host at a new address becomes a learner", losses: 2, voters: five, joiners: []raft.Member{f}, want: ChangeArgs{ChangeAdd, f},
		},
		{name: "learner stays a learner while all voters respond", losses: 2, voters: five, learners: []raft.Member{f}},
		{
			name: "unresponsive voter is removed for a caught-up learner", losses: 1, voters: five, learners: []raft.Member{f}, unresponsive: []raft.Member{b},
			want: ChangeArgs{ChangeRemove, b},
		},
		{
			name: "unresponsive learner is removed", losses: 2, voters: five, learners: []raft.Member{f}, unresponsive: []raft.Member{f},
			want: ChangeArgs{ChangeRemove, f},
		},
		{name: "join request of a member is ignored", losses: 2, voters: five, joiners: []raft.Member{b}},
		{name: "voter stops without a learner", voters: five, leavers: []raft.Member{b}, losses: 1},
		{
			name: "learner takes the place of a voter that stops", voters: five, learners: []raft.Member{f}, leavers: []raft.Member{b},
			want: ChangeArgs{ChangePromote, f}, losses: 1,
		},
		{
			name: "voter that stops is removed after its successor became a voter", voters: append(five[:5:5], f), leavers: []raft.Member{b},
			want: ChangeArgs{ChangeRemove, b}, losses: 1,
		},
		{name: "leader that stops is removed by the next one", voters: append(five[:5:5], f), leavers: []raft.Member{a}, losses: 1},
		{
			name: "of two voters that stop the one that asked first gets the last learner", voters: append(five[:5:5], f), leavers: []raft.Member{c, b},
			want: ChangeArgs{ChangeRemove, c},
		},
		{name: "second voter that stops is not removed without a learner", voters: []raft.Member{a, b, d, e, f}, leavers: []raft.Member{b}, losses: 1},
		{name: "learner that lags takes no place", voters: five, learners: []raft.Member{f}, leavers: []raft.Member{b}, behind: true, losses: 1},
		{
			name: "learner that is silent takes no place", voters: five, learners: []raft.Member{f}, leavers: []raft.Member{b},
			unresponsive: []raft.Member{f}, want: ChangeArgs{ChangeRemove, f}, losses: 1,
		},
		{name: "learner that stops takes no place", voters: five, learners: []raft.Member{f}, leavers: []raft.Member{b, f}, losses: 1},
		{name: "learner that stops fills no gap", voters: five[:4], learners: []raft.Member{f}, leavers: []raft.Member{f}, losses: 1},
		{
			name: "voter that was killed in an exchange is removed", voters: append(five[:5:5], f), unresponsive: []raft.Member{b},
			want: ChangeArgs{ChangeRemove, b}, losses: 1,
		},
		{
			name: "no removal in an exchange that would lose the quorum", voters: append(five[:5:5], f), leavers: []raft.Member{b},
			unresponsive: []raft.Member{c, d, e, f},
		},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			unresponsive := map[raft.MemberID]bool{}
			for _, member := range testcase.unresponsive {
				unresponsive[member.ID] = true
			}
			view := membershipView{
				self: a.ID, members: raft.Members{Voters: testcase.voters, Learners: testcase.learners}, targetVoters: 5, now: now,
				leaderSince: now.Add(-time.Minute), caughtUp: func(raft.MemberID) bool { return !testcase.behind },
				contact: func(id raft.MemberID) time.Time {
					if unresponsive[id] {
						return now.Add(-time.Minute)
					}
					return now
				},
			}
			for _, member := range testcase.leavers {
				view.leavers = append(view.leavers, leaver{id: member.ID, since: now, requestedAt: now})
			}
			for _, member := range testcase.joiners {
				view.joiners = append(view.joiners, joiner{member: member, requestedAt: now})
			}
			change, _ := view.nextChange()
			is.Equal(change, testcase.want)
			is.Equal(view.losses(voterTimeout), testcase.losses)
		})
	}
}

// TestSilenceCountsFromLeadershipStart checks that a new leader counts the silence of
// members only from the start of its leadership, so that they have time to answer it.
func TestSilenceCountsFromLeadershipStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	view := membershipView{
		self: "a", members: raft.Members{Voters: []raft.Member{testMember("a", 1), testMember("b", 2), testMember("c", 3)}},
		targetVoters: 3, now: now, leaderSince: now.Add(-time.Second), contact: func(raft.MemberID) time.Time { return time.Time{} },
	}
	is.Equal(view.silentFor("b"), time.Second)
	is.Equal(view.silentFor("a"), time.Duration(0))
}
