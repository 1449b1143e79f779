package group

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

func putService(name string, version uint64) state.Command {
	return state.PutItems{Items: []items.Item{{
		Kind: items.KindService, Name: name, Version: version, Source: []byte(name), Service: &items.Service{},
	}}}
}

func dropService(name string) state.Command {
	return state.PutItems{Items: []items.Item{{Kind: items.KindService, Name: name, Version: 2, Deleted: true}}}
}

func putRoute(service string) state.Command {
	return state.PutItems{Items: []items.Item{{
		Kind: items.KindRoute, Name: "r-" + service, Version: 1, Source: []byte(service),
		Route: &items.Route{Timeout: time.Second, Attempts: 1, Split: []items.WeightedService{{Service: service, Weight: 1}}},
	}}}
}

// orphans returns the routes of a catalog whose service is not in force.
func orphans(catalog *state.Catalog) []string {
	var names []string
	for _, item := range catalog.Items.Active() {
		if item.Route == nil {
			continue
		}
		if _, ok := catalog.Items.Service(item.Route.Split[0].Service); !ok {
			names = append(names, item.Name)
		}
	}
	return names
}

// TestLeaderKeepsServicesOfFormerFormat guards against a route without its service in a group
// that may have members of the former version, which do not look for it where they apply the
// deletion. The former version's hosts propose with its tickets, or with none.
func TestLeaderKeepsServicesOfFormerFormat(t *testing.T) {
	cases := []struct {
		name string
		// before are appended and not committed yet when the deletion is proposed, and beside in
		// the same batch as it, before it.
		before, beside []state.Command
		newTerm        bool
		stale          bool
	}{
		{name: "alone"},
		{name: "route not committed yet", before: []state.Command{putRoute("jobs")}, stale: true},
		{name: "any change not committed yet", before: []state.Command{putService("more", 1)}, stale: true},
		{name: "other command not committed yet", before: []state.Command{evacuation(true)}},
		{name: "route in the same batch", beside: []state.Command{putRoute("jobs")}, stale: true},
		{name: "route of an earlier term", before: []state.Command{putRoute("jobs")}, newTerm: true, stale: true},
	}
	for _, testcase := range cases {
		for _, format := range []uint64{state.FormatPlain, state.FormatRollouts} {
			t.Run(fmt.Sprintf("%s, format %d", testcase.name, format), func(t *testing.T) {
				is := is.New(t)
				node, clock := loadLeaderOfThree(t)
				node.machine.Format = format
				commit := func() {
					receive(node, raft.AppendResponse{Term: node.core.Term(), Success: true, Match: node.core.LastIndex()})
				}
				queue := func(command state.Command) chan proposeResult {
					return proposeQueued(node, func() (state.Result, error) { return node.Propose(t.Context(), command) })
				}
				queue(putService("jobs", 1))
				node.processBatch(nil)
				commit()
				for _, command := range testcase.before {
					queue(command)
					node.processBatch(nil)
				}
				if testcase.newTerm {
					receive(node, raft.AppendResponse{Term: node.core.Term() + 1})
					win(t, node, clock)
				}
				for _, command := range testcase.beside {
					queue(command)
				}
				dropped := queue(dropService("jobs"))
				node.processBatch(nil)
				if testcase.stale {
					is.True(errors.Is((<-dropped).err, ErrStaleTicket))
				}
				commit()
				is.Equal(orphans(node.Catalog()), nil)
				if !testcase.stale {
					is.Equal((<-dropped).result.Outcome, state.OutcomeDone)
					return
				}
				// It is refused for as long as the route stands, and only for this reason.
				again := queue(dropService("jobs"))
				node.processBatch(nil)
				commit()
				if _, named := node.Catalog().Items.Items["route/r-jobs"]; named {
					is.True(errors.Is((<-again).err, ErrStaleTicket))
					return
				}
				is.Equal((<-again).result.Outcome, state.OutcomeDone)
			})
		}
	}
}

// TestContradictingChangesWhileLeadersEnd guards against two changes that are both acknowledged,
// or both refused, although exactly one of them can be in force: sent at the same time, while the
// leader is killed and starts again, and repeated until they have an answer.
func TestContradictingChangesWhileLeadersEnd(t *testing.T) {
	const pairs, killEvery = 24, 6
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx := t.Context()
	leader := cluster.leader(ctx)
	for pair := range pairs {
		service := fmt.Sprintf("s-%d", pair)
		_, err := cluster.client.Propose(ctx, putService(service, 1))
		is.NoErr(err)
		var outcomes [2]state.Outcome
		var tasks sync.WaitGroup
		for number, command := range []state.Command{putRoute(service), dropService(service)} {
			tasks.Go(func() {
				result, err := cluster.client.Propose(ctx, command)
				if err == nil {
					outcomes[number] = result.Outcome
				}
			})
		}
		if pair%killEvery == killEvery-1 {
			cluster.stop(leader)
			cluster.start(leader)
		}
		tasks.Wait()
		is.True(outcomes[0] == state.OutcomeDone != (outcomes[1] == state.OutcomeDone))
		is.True(outcomes[0] == state.OutcomeInvalid != (outcomes[1] == state.OutcomeInvalid))
		leader = cluster.leader(ctx)
		is.Equal(orphans(cluster.nodes[leader].Catalog()), nil)
	}
}
