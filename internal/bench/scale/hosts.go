package scale

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/lease"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	benchSecret  = "a secret for measuring"
	groupTimeout = 20 * time.Second
	controlPort  = 17403
)

// fakeLeader is a control host that is always the leader and has no Raft log.
type fakeLeader struct{ machine *state.Machine }

// HoldsLease always returns true.
func (fakeleader fakeLeader) HoldsLease() bool { return true }

// Status returns a status with term 1 and leadership that starts now.
func (fakeleader fakeLeader) Status() group.Status {
	return group.Status{Term: 1, LeaderSince: time.Now()}
}

// Catalog returns the catalog of the state machine.
func (fakeleader fakeLeader) Catalog() *state.Catalog { return fakeleader.machine.Catalog }

// Heartbeats measures the CPU time that the leader and the hosts spend on
// heartbeats as a function of the number of hosts. It also returns the size in
// bytes of a heartbeat and its response.
func Heartbeats() (leader, host Regression, bytes int) {
	const rounds = 20
	var leaderPoints, hostPoints []Point
	for _, count := range []int{50, 100, 200, 400, 600} {
		machine := state.NewMachine()
		clock := clockwork.NewRealClock()
		table := lease.NewTable(trust.Secret(benchSecret), clock, fakeLeader{machine: machine})
		var holders []*lease.Holder
		for number := range count {
			name := fmt.Sprintf("host-%d", number)
			apply(machine, state.OpenSession{Host: state.Host{Name: name, Boot: 1}})
			holders = append(holders, lease.NewHolder(trust.Secret(benchSecret), clock, name, 1, func() *state.Catalog { return machine.Catalog }))
		}
		var leaderTime, hostTime time.Duration
		for range rounds {
			datagrams := make([][]byte, count)
			answers := make([][]byte, count)
			hostTime += measureCPUTime(func() {
				for number, holder := range holders {
					datagrams[number] = holder.NextHeartbeat()
				}
			})
			leaderTime += measureCPUTime(func() {
				for number, datagram := range datagrams {
					answers[number] = table.HandleHeartbeat(datagram)
				}
			})
			hostTime += measureCPUTime(func() {
				for number, holder := range holders {
					holder.HandleAck(netip.AddrPort{}, answers[number])
				}
			})
			bytes = len(datagrams[0]) + len(answers[0])
		}
		leaderPoints = append(leaderPoints, Point{float64(count), leaderTime.Seconds() * 1e6 / rounds})
		hostPoints = append(hostPoints, Point{float64(count), hostTime.Seconds() * 1e6 / rounds})
	}
	leader = fitLine("heartbeats, leader, one round", "microseconds", "host", leaderPoints)
	host = fitLine("heartbeats, all hosts, one round", "microseconds", "host", hostPoints)
	return leader, host, bytes
}

// startControlGroup starts a control group in this process. Its nodes store their
// data in the folder. If it fails, it returns the nodes started so far.
func startControlGroup(folder string, size int, oneByOne bool) ([]*group.Node, []netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for number := range size {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("127.9.%d.1:%d", number+1, controlPort)))
	}
	var nodes []*group.Node
	for number := range size {
		node, err := group.Open(group.Options{
			Name: fmt.Sprintf("c%d", number), Address: addresses[number], DataFolder: fmt.Sprintf("%s/c%d", folder, number),
			Secret: trust.Secret(benchSecret), InitialMembers: addresses, Clock: clockwork.NewRealClock(),
			Log: &log.Logger{Handler: discard.New()}, DisableGroupCommit: oneByOne,
		})
		if err != nil {
			return nodes, nil, Error.New("start control group: %w", err)
		}
		nodes = append(nodes, node)
		go func() { _ = node.Form(context.Background()) }()
	}
	return nodes, addresses, nil
}

// withControlGroup starts a control group of three nodes and calls action with a
// client of the group and the addresses of the nodes.
func withControlGroup(oneByOne bool, action func(ctx context.Context, client *group.Client, addresses []netip.AddrPort) error) error {
	folder, err := os.MkdirTemp("", "damaskcrank-bench-")
	if err != nil {
		return Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	nodes, addresses, err := startControlGroup(folder, 3, oneByOne)
	defer func() {
		for _, node := range nodes {
			_ = node.Close()
		}
	}()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	client := group.NewClient(addresses, trust.Secret(benchSecret))
	defer client.Close()
	if _, err := client.Propose(ctx, state.OpenSession{Host: state.Host{Name: "first"}}); err != nil {
		return Error.New("commit first command: %w", err)
	}
	return action(ctx, client, addresses)
}

// CommitRate is the throughput of durable commits with a number of concurrent
// proposers.
type CommitRate struct {
	Proposers int
	// OneByOne is set if group commit was disabled.
	OneByOne  bool
	PerSecond float64
	// Mean is the mean latency of a commit.
	Mean time.Duration
}

// Commits measures the commits per second of a control group of three nodes that
// write to disk, with group commit and with a separate sync for each proposal.
func Commits() ([]CommitRate, error) {
	var rates []CommitRate
	for _, oneByOne := range []bool{true, false} {
		for _, proposers := range []int{1, 8, 64} {
			rate, err := measureCommitRate(proposers, oneByOne)
			if err != nil {
				return nil, err
			}
			rates = append(rates, rate)
		}
	}
	return rates, nil
}

func measureCommitRate(proposers int, oneByOne bool) (CommitRate, error) {
	const duration = 2 * time.Second
	rate := CommitRate{Proposers: proposers, OneByOne: oneByOne}
	err := withControlGroup(oneByOne, func(ctx context.Context, client *group.Client, _ []netip.AddrPort) error {
		var done atomic.Int64
		var waitGroup sync.WaitGroup
		started := time.Now()
		for number := range proposers {
			waitGroup.Add(1)
			go func() {
				defer waitGroup.Done()
				for time.Since(started) < duration {
					command := state.DropRequest{Key: state.LedgerKey{Key: fmt.Sprint(number)}, Attempt: "a"}
					if _, err := client.Propose(ctx, command); err == nil {
						done.Add(1)
					}
				}
			}()
		}
		waitGroup.Wait()
		elapsed := time.Since(started)
		rate.PerSecond = float64(done.Load()) / elapsed.Seconds()
		rate.Mean = elapsed * time.Duration(proposers) / time.Duration(max(1, done.Load()))
		return nil
	})
	return rate, err
}

// Propagation measures how long a change takes to reach all hosts, and the CPU time
// that the whole process spends on it, as functions of the number of hosts.
func Propagation() (latency, cpuTime Regression, err error) {
	var latencies, cpuTimes []Point
	for _, count := range []int{25, 50, 100, 200} {
		err := withControlGroup(false, func(ctx context.Context, client *group.Client, addresses []netip.AddrPort) error {
			elapsed, cpuPerChange, err := measurePropagation(ctx, client, addresses, count)
			latencies = append(latencies, Point{float64(count), elapsed.Seconds() * 1e3})
			cpuTimes = append(cpuTimes, Point{float64(count), cpuPerChange.Seconds() * 1e6})
			return err
		})
		if err != nil {
			return Regression{}, Regression{}, err
		}
	}
	latency = fitLine("change in force on all hosts", "milliseconds", "host", latencies)
	cpuTime = fitLine("change, processor time of all", "microseconds", "host", cpuTimes)
	return latency, cpuTime, nil
}

// measurePropagation returns the mean latency until all followers have applied a
// change, and the mean CPU time for a change.
func measurePropagation(ctx context.Context, client *group.Client, addresses []netip.AddrPort, count int) (latency, cpuPerChange time.Duration, err error) {
	const changes = 20
	var followers []*fetch.Follower
	for number := range count {
		rotated := append(append([]netip.AddrPort(nil), addresses[number%3:]...), addresses[:number%3]...)
		source := group.NewClient(rotated, trust.Secret(benchSecret))
		follower := fetch.NewFollower(source, func() uint64 { return 0 }, &log.Logger{Handler: discard.New()})
		follower.Start()
		followers = append(followers, follower)
		defer follower.Close()
		defer source.Close() // runs before follower.Close, so that no follower waits in a pending fetch
	}
	cpuTime := measureCPUTime(func() {
		for version := range changes {
			started := time.Now()
			body := fmt.Appendf(nil, `{"name":"w","schema":1,"version":%d}`, version+1)
			record := spec.Record{Kind: spec.KindWorkspace, Name: "w", Schema: 1, Version: uint64(version + 1), Body: body}
			result, proposeErr := client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{record}})
			if proposeErr != nil {
				err = Error.New("propose change: %w", proposeErr)
				return
			}
			for _, follower := range followers {
				for follower.Catalog().Index < result.Index && ctx.Err() == nil {
					time.Sleep(100 * time.Microsecond)
				}
			}
			latency += time.Since(started)
		}
	})
	return latency / changes, cpuTime / changes, err
}
