package group

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/files"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const groupSecret = "a secret for the group"

// cluster is an in-process control group with real disks and connections.
type cluster struct {
	t         *testing.T
	addresses []netip.AddrPort
	folders   []string
	disks     []*files.Failing
	nodes     []*Node
	client    *Client
}

// addressGroups counts the calls of freeAddresses.
var addressGroups atomic.Uint32

// freeAddresses returns addresses with an IP of their own, so that no connection of another
// test takes one of them before a member listens there, or while it restarts.
func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	group := addressGroups.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 10, byte(group >> 8), byte(group)})
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	cluster := &cluster{t: t, addresses: freeAddresses(t, size), nodes: make([]*Node, size)}
	for number := range size {
		cluster.folders = append(cluster.folders, t.TempDir())
		cluster.disks = append(cluster.disks, &files.Failing{})
		cluster.start(number)
	}
	cluster.client = NewClient(cluster.addresses, trust.Secret(groupSecret))
	t.Cleanup(func() {
		cluster.client.Close()
		for number := range cluster.nodes {
			cluster.stop(number)
		}
	})
	return cluster
}

func (cluster *cluster) start(number int) {
	cluster.t.Helper()
	node, err := Open(Options{
		Name: fmt.Sprintf("c%d", number), Address: cluster.addresses[number], DataFolder: cluster.folders[number], Files: cluster.disks[number],
		Secret: trust.Secret(groupSecret), InitialMembers: cluster.addresses, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: discard.New()}, SnapshotEvery: 50,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.nodes[number] = node
	go func() { _ = node.Form(cluster.t.Context()) }()
}

func (cluster *cluster) stop(number int) {
	if cluster.nodes[number] != nil {
		_ = cluster.nodes[number].Close()
		cluster.nodes[number] = nil
		// A snapshot that is still being written changes nothing in the folder from now on.
		cluster.disks[number].Fail(func(files.Operation, string) error { return fs.ErrClosed })
		cluster.disks[number] = &files.Failing{}
	}
}

// leader waits for a leader and returns its index.
func (cluster *cluster) leader(ctx context.Context) int {
	cluster.t.Helper()
	for ctx.Err() == nil {
		for number, node := range cluster.nodes {
			if node != nil && node.HoldsLease() {
				return number
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	cluster.t.Fatal("no leader was elected")
	return -1
}

// register is an operation on a workspace record for which several operators
// compete: a write applies the next version, a read returns the current one.
type register struct {
	write   bool
	version uint64
	weight  float64
}

type registerResult struct {
	outcome state.Outcome
	version uint64
	weight  float64
	unknown bool
}

// registerModel is the sequential specification of a versioned record.
var registerModel = porcupine.Model{
	Init: func() any { return registerResult{} },
	Step: func(current, input, output any) (bool, any) {
		present, _ := current.(registerResult)
		operation, _ := input.(register)
		result, _ := output.(registerResult)
		if !operation.write {
			return result.version == present.version && result.weight == present.weight, present
		}
		next := registerResult{version: operation.version, weight: operation.weight}
		follows := operation.version == present.version+1
		if result.unknown {
			if follows {
				return true, next
			}
			return true, present
		}
		if result.outcome == state.OutcomeDone {
			return follows, next
		}
		same := operation.version == present.version && operation.weight == present.weight
		return !follows && (result.outcome == state.OutcomeConflict || same), present
	},
}

func weightRecord(version uint64, weight float64) spec.Record {
	body := fmt.Appendf(nil, `{"name":"w","schema":2,"version":%d,"weight":%g}`, version, weight)
	return spec.Record{Kind: spec.KindWorkspace, Name: "w", Schema: 2, Version: version, Body: body}
}

// read returns the current record through a linearizable read.
func (cluster *cluster) read(ctx context.Context) (registerResult, bool) {
	for _, node := range cluster.nodes {
		if node == nil {
			continue
		}
		catalog, err := node.ReadLinearizable(ctx)
		if err != nil {
			continue
		}
		workspace, ok := catalog.Workspace("w")
		if !ok {
			return registerResult{}, true
		}
		version := catalog.Records[spec.ID{Kind: spec.KindWorkspace, Name: "w"}].Version
		return registerResult{version: version, weight: workspace.Weight}, true
	}
	return registerResult{}, false
}

// TestLinearizable lets three clients write one record concurrently while
// leadership is transferred, and checks that the history of the writes is
// linearizable.
func TestLinearizable(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	cluster.leader(ctx)
	var mutex sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(client int, input register, call int64, output registerResult) {
		mutex.Lock()
		defer mutex.Unlock()
		end := time.Since(started).Nanoseconds()
		if output.unknown {
			end = int64(1) << 60
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
	}
	var wait sync.WaitGroup
	for writer := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := NewClient(cluster.addresses, trust.Secret(groupSecret))
			defer client.Close()
			version := uint64(1)
			for step := range 40 {
				input := register{write: true, version: version, weight: float64(writer*1000 + step + 1)}
				call := time.Since(started).Nanoseconds()
				attemptCtx, cancelAttempt := context.WithTimeout(ctx, 1500*time.Millisecond)
				result, err := client.Propose(attemptCtx, state.ApplyRecords{Records: []spec.Record{weightRecord(input.version, input.weight)}})
				cancelAttempt()
				record(writer, input, call, registerResult{outcome: result.Outcome, unknown: err != nil})
				if err != nil || result.Outcome == state.OutcomeConflict || result.Outcome == state.OutcomeDone {
					version++
				}
				if current, ok := cluster.read(ctx); ok && result.Outcome == state.OutcomeConflict {
					version = current.version + 1
				}
			}
		}()
	}
	stopFaults := make(chan struct{})
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		for {
			select {
			case <-stopFaults:
				return
			case <-time.After(300 * time.Millisecond):
				cluster.transferLeadership(ctx)
			}
		}
	}()
	wait.Wait()
	close(stopFaults)
	<-faults
	is.True(len(history) == 120)
	is.True(porcupine.CheckOperations(registerModel, history))
	done := 0
	for _, operation := range history {
		result, _ := operation.Output.(registerResult)
		if result.outcome == state.OutcomeDone {
			done++
		}
	}
	is.True(done > 0)
}

// transferLeadership asks the current leader to transfer leadership.
func (cluster *cluster) transferLeadership(ctx context.Context) {
	for _, node := range cluster.nodes {
		if node != nil && node.HoldsLease() && ctx.Err() == nil {
			node.TransferLeadership()
			return
		}
	}
}

// readLeader reads like a client: from whichever member is the leader at the
// time, since the leader may change at any moment. It returns the catalog and
// the index of that member.
func (cluster *cluster) readLeader(ctx context.Context) (*state.Catalog, int) {
	cluster.t.Helper()
	for ctx.Err() == nil {
		for number, node := range cluster.nodes {
			if catalog, err := node.ReadLinearizable(ctx); err == nil {
				return catalog, number
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	cluster.t.Fatal("no member served a read")
	return nil, -1
}

// TestRestartKeepsAcknowledgedChanges stops all control hosts after acknowledged
// changes, wipes one disk and starts all hosts: the changes must still be there.
func TestRestartKeepsAcknowledgedChanges(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	for version := range uint64(120) { // enough for more than two snapshots
		result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(version+1, float64(version+1))}})
		is.NoErr(err)
		is.Equal(result.Outcome, state.OutcomeDone)
	}
	lost := cluster.leader(ctx)
	for number := range cluster.nodes {
		cluster.stop(number)
	}
	is.NoErr(os.RemoveAll(cluster.folders[lost]))
	for number := range cluster.nodes {
		cluster.start(number)
	}
	catalog, leader := cluster.readLeader(ctx)
	is.True(leader != lost) // a host with an empty disk must not become leader
	workspace, ok := catalog.Workspace("w")
	is.True(ok)
	is.Equal(workspace.Weight, 120.0)
	is.Equal(cluster.nodes[lost].Status().Formed, false) // nor form a new group
}

// TestReplaceLostDisk replaces a member whose disk was lost, and then loses a
// second member immediately after the replacement.
func TestReplaceLostDisk(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	_, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(1, 1)}})
	is.NoErr(err)
	leader := cluster.leader(ctx)
	lost := (leader + 1) % 3
	oldID := cluster.nodes[lost].ID()
	cluster.stop(lost)
	cluster.folders[lost] = t.TempDir()
	cluster.start(lost)
	newID := cluster.nodes[lost].ID()
	is.True(newID != oldID)
	newMember := raft.Member{ID: newID, Address: cluster.addresses[lost]}
	cluster.retryChange(ctx, ChangeArgs{Kind: ChangeAdd, Member: newMember})
	cluster.retryChange(ctx, ChangeArgs{Kind: ChangePromote, Member: newMember})
	cluster.retryChange(ctx, ChangeArgs{Kind: ChangeRemove, Member: raft.Member{ID: oldID}})
	cluster.stop((leader + 2) % 3) // the second loss
	result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(2, 2)}})
	is.NoErr(err)
	is.Equal(result.Outcome, state.OutcomeDone)
}

func (cluster *cluster) retryChange(ctx context.Context, args ChangeArgs) {
	cluster.t.Helper()
	for {
		if _, err := cluster.client.Change(ctx, args); err == nil {
			return
		}
		if ctx.Err() != nil {
			cluster.t.Fatalf("membership change %+v did not succeed: %v", args, ctx.Err())
		}
	}
}

// TestFetchCatchesUp checks that a host which missed hundreds of changes catches
// up to the latest one, with the full catalog or with all missing deltas.
func TestFetchCatchesUp(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	var last uint64
	for version := range uint64(300) {
		result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(version+1, 1)}})
		is.NoErr(err)
		last = result.Index
	}
	fresh, err := cluster.client.Fetch(0, 0)
	is.NoErr(err)
	is.True(fresh.Catalog != nil)
	encoded, err := codec.Decompress(fresh.Catalog)
	is.NoErr(err)
	catalog, err := state.DecodeCatalog(encoded)
	is.NoErr(err)
	is.Equal(catalog.Records[spec.ID{Kind: spec.KindWorkspace, Name: "w"}].Version, uint64(300))
	lagging, err := cluster.client.Fetch(last-200, 0)
	is.NoErr(err)
	changes, err := lagging.Changes()
	is.NoErr(err)
	is.Equal(len(changes), 200)
	is.True(lagging.Upto >= last)
}

// TestWrongSecretIsRejected checks that a client with another secret is
// rejected, and that invalid bytes on the port do not affect other clients.
func TestWrongSecretIsRejected(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	unauthorized := NewClient(cluster.addresses, trust.Secret("another secret"))
	defer unauthorized.Close()
	_, err := unauthorized.Fetch(0, 0)
	is.True(err != nil)
	conn, err := net.Dial("tcp", cluster.addresses[0].String())
	is.NoErr(err)
	_, err = conn.Write(make([]byte, 10000))
	is.NoErr(err)
	is.NoErr(conn.Close())
	_, err = cluster.client.Fetch(0, 0)
	is.NoErr(err) // invalid bytes from another client have no effect
}
