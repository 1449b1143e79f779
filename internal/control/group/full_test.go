package group

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/files"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// fullTime is how long a disk is full, several times the time to elect a leader.
	fullTime = 600 * time.Millisecond
	// ackTime is the users' bound on the acknowledgement of a change while one disk is full.
	ackTime = 4 * time.Second
)

// fullFor returns a check by which an operation on files whose name begins so finds no space.
func fullFor(failing files.Operation, name string) func(files.Operation, string) error {
	return func(operation files.Operation, path string) error {
		if operation == failing && strings.HasPrefix(filepath.Base(path), name) {
			return syscall.ENOSPC
		}
		return nil
	}
}

// operator applies changes one after the other.
type operator struct {
	cluster *cluster
	version uint64
}

// apply applies the next change, and fails the test if it is not acknowledged in time.
func (operator *operator) apply() {
	operator.cluster.t.Helper()
	operator.version++
	ctx, cancel := context.WithTimeout(operator.cluster.t.Context(), ackTime)
	defer cancel()
	record := weightRecord(operator.version, float64(operator.version))
	result, err := operator.cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{record}})
	if err != nil || result.Outcome != state.OutcomeDone {
		operator.cluster.t.Fatalf("change %d: %v, %v", operator.version, result, err)
	}
}

// checkAlive fails the test if a member has ended.
func (cluster *cluster) checkAlive() {
	cluster.t.Helper()
	for number, node := range cluster.nodes {
		select {
		case <-node.Done():
			cluster.t.Fatalf("member %d has ended: %v", number, node.failed)
		default:
		}
	}
}

// awaitAll waits until all members have applied the same.
func (cluster *cluster) awaitAll(ctx context.Context) {
	cluster.t.Helper()
	for index := cluster.nodes[cluster.leader(ctx)].Catalog().Index; ; <-time.After(10 * time.Millisecond) {
		behind := 0
		for _, node := range cluster.nodes {
			if node.Catalog().Index < index {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if ctx.Err() != nil {
			cluster.t.Fatalf("%d members did not apply entry %d", behind, index)
		}
	}
}

// TestDisksFullInTurn guards against changes that are refused, or not answered, once the
// disks of all members were full for a while, one after the other: at each operation of the
// writes of the log, its compaction and snapshots, on the leader and on followers.
func TestDisksFullInTurn(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for elections")
	}
	for _, operation := range []files.Operation{files.Open, files.Write, files.Sync, files.Rename, files.Truncate} {
		for _, name := range []string{"log", "snapshot", ""} {
			t.Run(fmt.Sprintf("%s %q", operation, name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				cluster := startCluster(t, 3)
				operator := &operator{cluster: cluster}
				for range 40 {
					operator.apply()
				}
				for range 2 * len(cluster.nodes) {
					cluster.fillDisk(ctx, operator, operation, name)
				}
				for range 120 { // more than two snapshots
					operator.apply()
				}
				cluster.checkAlive()
				cluster.awaitAll(ctx)
				for number := range cluster.nodes {
					cluster.stop(number)
					cluster.start(number)
				}
				operator.apply()
				cluster.awaitAll(ctx)
				for _, node := range cluster.nodes {
					is.Equal(node.Catalog().Index, cluster.nodes[0].Catalog().Index)
				}
			})
		}
	}
}

// fillDisk lets the disk of the leader, and then that of a follower, be full for a while,
// beside changes.
func (cluster *cluster) fillDisk(ctx context.Context, operator *operator, operation files.Operation, name string) {
	cluster.t.Helper()
	leader := cluster.leader(ctx)
	for _, member := range []int{leader, (leader + 1) % len(cluster.nodes)} {
		cluster.disks[member].Fail(fullFor(operation, name))
		for until := time.Now().Add(fullTime); time.Now().Before(until); {
			operator.apply()
		}
		cluster.disks[member].Fail(nil)
		cluster.checkAlive()
		cluster.awaitAll(ctx)
	}
}

// TestSnapshotReceivedOnFullDisk guards against a member that ends, or never catches up,
// because its disk was full when it was sent the state of the others.
func TestSnapshotReceivedOnFullDisk(t *testing.T) {
	for _, operation := range []files.Operation{files.Open, files.Write, files.Sync, files.Rename, files.Truncate} {
		for _, name := range []string{"log", "snapshot", ""} {
			t.Run(fmt.Sprintf("%s %q", operation, name), func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				cluster := startCluster(t, 3)
				operator := &operator{cluster: cluster}
				operator.apply()
				late := (cluster.leader(ctx) + 1) % len(cluster.nodes)
				cluster.stop(late)
				for range 120 { // more than two snapshots
					operator.apply()
				}
				cluster.start(late)
				cluster.disks[late].Fail(fullFor(operation, name))
				for until := time.Now().Add(fullTime); time.Now().Before(until); {
					operator.apply()
				}
				cluster.disks[late].Fail(nil)
				operator.apply()
				cluster.awaitAll(ctx)
				cluster.checkAlive()
			})
		}
	}
}

// TestGroupFormsAfterFullDisk guards against a group that is never formed because the disk of
// a member was full at first.
func TestGroupFormsAfterFullDisk(t *testing.T) {
	for _, operation := range []files.Operation{files.Open, files.Write, files.Sync, files.Rename} {
		t.Run(string(operation), func(t *testing.T) {
			cluster := &cluster{t: t, addresses: freeAddresses(t, 1), folders: []string{t.TempDir()}, disks: []*files.Failing{{}}, nodes: make([]*Node, 1)}
			cluster.disks[0].Fail(fullFor(operation, "snapshot"))
			cluster.start(0)
			defer cluster.stop(0)
			for cluster.disks[0].Count() == 0 {
				<-time.After(time.Millisecond)
			}
			cluster.disks[0].Fail(nil)
			ctx, cancel := context.WithTimeout(t.Context(), ackTime)
			defer cancel()
			cluster.leader(ctx)
		})
	}
}
