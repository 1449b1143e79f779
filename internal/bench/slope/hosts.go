package slope

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

	"damaskcrank.example/damaskcrank/internal/control/beats"
	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	benchSecret  = "a secret for measuring"
	groupWait    = 20 * time.Second
	firstControl = 17403
)

// localLeader is a control host that always leads, without a log.
type localLeader struct{ machine *state.Machine }

// Leads is always true.
func (localleader localLeader) Leads() bool { return true }

// Status returns the first term.
func (localleader localLeader) Status() group.Status {
	return group.Status{Term: 1, LeaderSince: time.Now()}
}

// Catalog returns the machine's catalog.
func (localleader localLeader) Catalog() *state.Catalog { return localleader.machine.Catalog }

// Heartbeats measures the leader's and the hosts' processor time of heartbeats
// by the number of hosts, and returns the bytes of a heartbeat and its answer.
func Heartbeats() (leader, host Line, bytes int) {
	const rounds = 20
	var leaderPoints, hostPoints []Point
	for _, count := range []int{50, 100, 200, 400, 600} {
		machine := state.NewMachine()
		clock := clockwork.NewRealClock()
		keeper := beats.NewKeeper(trust.Secret(benchSecret), clock, localLeader{machine: machine})
		var pulses []*beats.Pulse
		for number := range count {
			name := fmt.Sprintf("host-%d", number)
			apply(machine, state.OpenSession{Host: state.Host{Name: name, Boot: 1}})
			pulses = append(pulses, beats.NewPulse(trust.Secret(benchSecret), clock, name, 1, func() *state.Catalog { return machine.Catalog }))
		}
		var leaderTime, hostTime time.Duration
		for range rounds {
			datagrams := make([][]byte, count)
			answers := make([][]byte, count)
			hostTime += spent(func() {
				for number, pulse := range pulses {
					datagrams[number] = pulse.Next()
				}
			})
			leaderTime += spent(func() {
				for number, datagram := range datagrams {
					answers[number] = keeper.Answer(datagram)
				}
			})
			hostTime += spent(func() {
				for number, pulse := range pulses {
					pulse.Receive(netip.AddrPort{}, answers[number])
				}
			})
			bytes = len(datagrams[0]) + len(answers[0])
		}
		leaderPoints = append(leaderPoints, Point{float64(count), leaderTime.Seconds() * 1e6 / rounds})
		hostPoints = append(hostPoints, Point{float64(count), hostTime.Seconds() * 1e6 / rounds})
	}
	leader = fit("heartbeats, leader, one round", "microseconds", "host", leaderPoints)
	host = fit("heartbeats, all hosts, one round", "microseconds", "host", hostPoints)
	return leader, host, bytes
}

// controlGroup starts a group in this process with disks in a folder.
func controlGroup(folder string, size int, oneByOne bool) ([]*group.Node, []netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for number := range size {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("127.9.%d.1:%d", number+1, firstControl)))
	}
	var nodes []*group.Node
	for number := range size {
		node, err := group.Open(group.Options{
			Name: fmt.Sprintf("c%d", number), Address: addresses[number], Folder: fmt.Sprintf("%s/c%d", folder, number),
			Secret: trust.Secret(benchSecret), Initial: addresses, Clock: clockwork.NewRealClock(),
			Log: &log.Logger{Handler: discard.New()}, OneByOne: oneByOne,
		})
		if err != nil {
			return nodes, nil, Error.New("start control group: %w", err)
		}
		nodes = append(nodes, node)
		go func() { _ = node.Form(context.Background()) }()
	}
	return nodes, addresses, nil
}

// withGroup runs work against a control group of three.
func withGroup(oneByOne bool, work func(ctx context.Context, client *group.Client, addresses []netip.AddrPort) error) error {
	folder, err := os.MkdirTemp("", "damaskcrank-bench-")
	if err != nil {
		return Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	nodes, addresses, err := controlGroup(folder, 3, oneByOne)
	defer func() {
		for _, node := range nodes {
			_ = node.Close()
		}
	}()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupWait)
	defer cancel()
	client := group.NewClient(addresses, trust.Secret(benchSecret))
	defer client.Close()
	if _, err := client.Propose(ctx, state.OpenSession{Host: state.Host{Name: "first"}}); err != nil {
		return Error.New("first commit: %w", err)
	}
	return work(ctx, client, addresses)
}

// CommitRate is the rate of durable commits by a number of proposers.
type CommitRate struct {
	Proposers int
	OneByOne  bool
	PerSecond float64
	Mean      time.Duration
}

// Commits measures commits per second of a group of three with real disks,
// with group commit and with a sync for each proposal alone.
func Commits() ([]CommitRate, error) {
	var rates []CommitRate
	for _, oneByOne := range []bool{true, false} {
		for _, proposers := range []int{1, 8, 64} {
			rate, err := commitRate(proposers, oneByOne)
			if err != nil {
				return nil, err
			}
			rates = append(rates, rate)
		}
	}
	return rates, nil
}

func commitRate(proposers int, oneByOne bool) (CommitRate, error) {
	const length = 2 * time.Second
	rate := CommitRate{Proposers: proposers, OneByOne: oneByOne}
	err := withGroup(oneByOne, func(ctx context.Context, client *group.Client, _ []netip.AddrPort) error {
		var done atomic.Int64
		var wait sync.WaitGroup
		started := time.Now()
		for number := range proposers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Since(started) < length {
					command := state.DropRequest{Key: state.LedgerKey{Key: fmt.Sprint(number)}, Attempt: "a"}
					if _, err := client.Propose(ctx, command); err == nil {
						done.Add(1)
					}
				}
			}()
		}
		wait.Wait()
		elapsed := time.Since(started)
		rate.PerSecond = float64(done.Load()) / elapsed.Seconds()
		rate.Mean = elapsed * time.Duration(proposers) / time.Duration(max(1, done.Load()))
		return nil
	})
	return rate, err
}

// Spread measures how long a change takes until all hosts have it, by the
// number of hosts, and the processor time of the whole process for it.
func Spread() (latency, processor Line, err error) {
	var latencies, processors []Point
	for _, count := range []int{25, 50, 100, 200} {
		err := withGroup(false, func(ctx context.Context, client *group.Client, addresses []netip.AddrPort) error {
			took, time, err := spread(ctx, client, addresses, count)
			latencies = append(latencies, Point{float64(count), took.Seconds() * 1e3})
			processors = append(processors, Point{float64(count), time.Seconds() * 1e6})
			return err
		})
		if err != nil {
			return Line{}, Line{}, err
		}
	}
	latency = fit("change in force on all hosts", "milliseconds", "host", latencies)
	processor = fit("change, processor time of all", "microseconds", "host", processors)
	return latency, processor, nil
}

func spread(ctx context.Context, client *group.Client, addresses []netip.AddrPort, count int) (took, processor time.Duration, err error) {
	const changes = 20
	var followers []*fetch.Follower
	for number := range count {
		rotated := append(append([]netip.AddrPort(nil), addresses[number%3:]...), addresses[:number%3]...)
		source := group.NewClient(rotated, trust.Secret(benchSecret))
		follower := fetch.NewFollower(source, func() uint64 { return 0 }, &log.Logger{Handler: discard.New()})
		follower.Start()
		followers = append(followers, follower)
		defer follower.Close()
		defer source.Close() // first, so that no follower waits for news
	}
	used := spent(func() {
		for version := range changes {
			started := time.Now()
			body := fmt.Appendf(nil, `{"name":"w","schema":1,"version":%d}`, version+1)
			record := spec.Record{Kind: spec.KindWorkspace, Name: "w", Schema: 1, Version: uint64(version + 1), Body: body}
			result, proposeErr := client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{record}})
			if proposeErr != nil {
				err = Error.New("change: %w", proposeErr)
				return
			}
			for _, follower := range followers {
				for follower.Catalog().Index < result.Index && ctx.Err() == nil {
					time.Sleep(100 * time.Microsecond)
				}
			}
			took += time.Since(started)
		}
	})
	return took / changes, used / changes, err
}
