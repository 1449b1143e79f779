package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/bench/stand"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// writeUntilDone sends a write as a caller does: again through the next host,
// under the same key, until it is answered. It returns what the answers said.
func writeUntilDone(ctx context.Context, fleet *Fleet, number int) error {
	key := fmt.Sprintf("write-%d", number)
	for try := number; ctx.Err() == nil; try++ {
		status, body, err := send(ctx, fleet, try%len(fleet.Hosts), http.MethodPost, "/fieldjobs/book", map[string]string{
			"Resource-Key": fmt.Sprintf("van-%d", number), "Idempotency-Key": key,
		})
		if err != nil {
			continue
		}
		if status == http.StatusOK {
			return nil
		}
		var problem front.Problem
		if err := json.Unmarshal([]byte(body), &problem); err != nil {
			return fmt.Errorf("write %d: status %d without a problem document", number, status)
		}
		if problem.Ran == "unknown" && problem.Reason == "outcomeUnknown" {
			return nil // an honest answer; the journal is checked for doubles
		}
	}
	return fmt.Errorf("write %d: %w", number, ctx.Err())
}

// TestLossOfAnyHost kills each host in turn, the control leader among them,
// while callers write: no write runs twice, and each ends.
func TestLossOfAnyHost(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	acknowledged := 0
	for lost := range fleet.Hosts {
		var wait sync.WaitGroup
		failures := make(chan error, 100)
		for number := range 20 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if err := writeUntilDone(ctx, fleet, lost*1000+number); err != nil {
					failures <- err
				}
			}()
		}
		fleet.KillHost(lost)
		wait.Wait()
		close(failures)
		for failure := range failures {
			t.Error(failure)
		}
		for number := range 20 {
			acknowledged += fleet.Journal.Runs(fmt.Sprintf("write-%d", lost*1000+number))
		}
		is.NoErr(fleet.StartHost(lost))
		is.NoErr(fleet.AwaitReady(ctx))
		is.NoErr(fleet.AwaitOwners(ctx, "fieldjobs"))
	}
	is.Equal(fleet.Journal.Doubled(), 0)
	is.True(acknowledged > 0)
}

// TestGracefulStop shuts a host down while callers write through it: each
// request that it took is answered.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	started := make(chan struct{}, 1000)
	done := make(chan error, 1)
	stop := make(chan struct{})
	go func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
			status, body, err := send(ctx, fleet, 3, http.MethodPost, "/fieldjobs/book", map[string]string{
				"Resource-Key": fmt.Sprintf("van-%d", number), "Idempotency-Key": fmt.Sprintf("stop-%d", number),
			})
			started <- struct{}{}
			if err != nil && strings.Contains(err.Error(), "refused") {
				done <- nil // the listener has closed
				return
			}
			if err != nil || status != http.StatusOK {
				done <- fmt.Errorf("request %d: status %d, %s, %w", number, status, body, err)
				return
			}
		}
	}()
	<-started
	is.NoErr(fleet.StopHost(ctx, 3))
	close(stop)
	is.NoErr(<-done)
	is.Equal(fleet.Journal.Doubled(), 0)
}

// TestPoisonOverFleet sends a request that crashes upstreams again and again,
// through all hosts: two are lost, then it is refused everywhere.
func TestPoisonOverFleet(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	_, err := fleet.StartUpstream(stand.Options{Service: "dispatchdesk", Name: "desk-9", DataCentre: "zarqa", Slots: 2})
	is.NoErr(err)
	is.NoErr(fleet.Await(ctx, "the third upstream", func() bool {
		return len(fleet.Hosts[0].Catalog().UpstreamsOf("dispatchdesk")) == 3
	}))
	quarantined := map[int]bool{}
	for try := 0; len(quarantined) < len(fleet.Hosts); try++ {
		is.NoErr(ctx.Err())
		number := try % len(fleet.Hosts)
		status, body, err := send(ctx, fleet, number, http.MethodGet, "/dispatchdesk"+stand.PoisonPath, nil)
		if err == nil && status == http.StatusUnprocessableEntity && strings.Contains(body, "quarantined") {
			quarantined[number] = true
		}
	}
	is.True(fleet.Journal.Crashes() <= state.QuarantineStrikes)
}

// TestWithdrawnKeyEverywhere withdraws a key: once that is in force, no host
// takes it, on connections that are still open.
func TestWithdrawnKeyEverywhere(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	for number := range fleet.Hosts {
		status, _, err := send(ctx, fleet, number, http.MethodGet, "/dispatchdesk/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	var reply admin.ApplyReply
	is.NoErr(fleet.Operate(ctx, 2, http.MethodDelete, "/api/v1/records/callerKey/k1?version=2", "application/json", nil, &reply))
	is.Equal(len(reply.Lagging), 0)
	for number := range fleet.Hosts {
		status, _, err := send(ctx, fleet, number, http.MethodGet, "/dispatchdesk/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusUnauthorized)
	}
}

// TestOperatorsRace lets operators at all hosts change one record under equal
// versions: one wins each version.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	for version := 2; version < 7; version++ {
		won := make(chan int, len(fleet.Hosts))
		var wait sync.WaitGroup
		for number := range fleet.Hosts {
			wait.Add(1)
			go func() {
				defer wait.Done()
				document := fmt.Sprintf("[[workspace]]\nname = \"amman-calls\"\nschema = 2\nversion = %d\nweight = %d\n", version, number+1)
				if fleet.Apply(ctx, number, document) == nil {
					won <- number
				}
			}()
		}
		wait.Wait()
		is.Equal(len(won), 1)
		workspace, ok := fleet.Hosts[0].Catalog().Workspace("amman-calls")
		is.True(ok)
		is.Equal(workspace.Weight, float64(<-won+1))
	}
}

// TestReplaceControlHost loses a control host with its disk, replaces it by the
// operators' interface, and loses a second one right after.
func TestReplaceControlHost(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	lost := (fleet.Leader() + 1) % 3
	oldID := fleet.Hosts[lost].Node().ID()
	fleet.KillHost(lost)
	is.NoErr(os.RemoveAll(fleet.DataFolder(lost)))
	is.NoErr(fleet.StartHost(lost))
	body, err := json.Marshal(admin.MemberArgs{Action: "replace", Address: fleet.ControlAddress(lost), ID: oldID})
	is.NoErr(err)
	var reply admin.MemberReply
	is.NoErr(fleet.Operate(ctx, 3, http.MethodPost, "/api/v1/members", "application/json", body, &reply))
	is.Equal(len(reply.Members), 3)
	fleet.KillHost((lost + 1) % 3)
	is.NoErr(fleet.AwaitReady(ctx))
	is.NoErr(fleet.Apply(ctx, 3, "[[workspace]]\nname = \"after\"\nschema = 1\nversion = 1\n"))
}

// TestLinksDuringStart sends requests to a host's peer port from before it
// starts until it answers: the first answer is an honest refusal.
func TestLinksDuringStart(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startSmall(t)
	fleet.KillHost(3)
	client, err := links.NewClient(fleet.secret, nil)
	is.NoErr(err)
	defer client.Close()
	payload, err := calls.EncodeRequest(calls.Request{Shard: state.DispatchShard("fieldjobs", "jobs-0"), ShardEpoch: 1})
	is.NoErr(err)
	first := make(chan links.Payload, 1)
	go func() {
		for ctx.Err() == nil {
			if reply, err := client.Call(ctx, fleet.address(4, peerPort), payload); err == nil {
				first <- reply
				return
			}
		}
	}()
	is.NoErr(fleet.StartHost(3))
	outcome, err := calls.DecodeOutcome(<-first)
	is.NoErr(err)
	refused, ok := outcome.(calls.Refused)
	is.True(ok)
	is.Equal(refused.Reason, calls.ReasonShardMoved)
	is.Equal(refused.Ran, calls.RanNot)
}
