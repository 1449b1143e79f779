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

	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// writeWithRetries sends a write as a caller does: it retries through the next
// host, with the same idempotency key, until the write is answered or its outcome
// is reported as unknown.
func writeWithRetries(ctx context.Context, fleet *Fleet, number int) error {
	key := fmt.Sprintf("write-%d", number)
	for attempt := number; ctx.Err() == nil; attempt++ {
		status, body, err := sendRequest(ctx, fleet, attempt%len(fleet.Hosts), http.MethodPost, "/fieldjobs/book", map[string]string{
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
			return fmt.Errorf("write %d: status %d, but the response is not a problem document", number, status)
		}
		if problem.Ran == "unknown" && problem.Reason == "outcomeUnknown" {
			return nil // a valid response; the test checks the journal for duplicate runs
		}
	}
	return fmt.Errorf("write %d: %w", number, ctx.Err())
}

// TestHostCrashDuringWrites kills each host in turn, including the control leader,
// while callers send writes. No write may run twice, and each must complete.
func TestHostCrashDuringWrites(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	runs := 0
	for killed := range fleet.Hosts {
		var wait sync.WaitGroup
		failures := make(chan error, 100)
		for number := range 20 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if err := writeWithRetries(ctx, fleet, killed*1000+number); err != nil {
					failures <- err
				}
			}()
		}
		fleet.KillHost(killed)
		wait.Wait()
		close(failures)
		for failure := range failures {
			t.Error(failure)
		}
		for number := range 20 {
			runs += fleet.Journal.Executions(fmt.Sprintf("write-%d", killed*1000+number))
		}
		is.NoErr(fleet.StartHost(killed))
		is.NoErr(fleet.AwaitReady(ctx))
		is.NoErr(fleet.AwaitOwners(ctx, "fieldjobs"))
	}
	is.Equal(fleet.Journal.DuplicateExecutions(), 0)
	is.True(runs > 0)
}

// TestGracefulShutdown shuts down a host while a caller sends writes through it.
// Every request that the host accepted must succeed.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
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
			status, body, err := sendRequest(ctx, fleet, 3, http.MethodPost, "/fieldjobs/book", map[string]string{
				"Resource-Key": fmt.Sprintf("van-%d", number), "Idempotency-Key": fmt.Sprintf("stop-%d", number),
			})
			started <- struct{}{}
			if err != nil && strings.Contains(err.Error(), "refused") {
				done <- nil // the host has closed its listener
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
	is.Equal(fleet.Journal.DuplicateExecutions(), 0)
}

// TestPoisonRequestQuarantine repeatedly sends a request that crashes upstreams,
// through all hosts. After it has crashed two upstreams, every host must refuse
// it.
func TestPoisonRequestQuarantine(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	_, err := fleet.StartUpstream(fake.Options{Service: "dispatchdesk", Name: "desk-9", DataCentre: "zarqa", Slots: 2})
	is.NoErr(err)
	is.NoErr(fleet.WaitFor(ctx, "the third upstream", func() bool {
		return len(fleet.Hosts[0].Catalog().UpstreamsOf("dispatchdesk")) == 3
	}))
	quarantined := map[int]bool{}
	for attempt := 0; len(quarantined) < len(fleet.Hosts); attempt++ {
		is.NoErr(ctx.Err())
		number := attempt % len(fleet.Hosts)
		status, body, err := sendRequest(ctx, fleet, number, http.MethodGet, "/dispatchdesk"+fake.PoisonPath, nil)
		if err == nil && status == http.StatusUnprocessableEntity && strings.Contains(body, "quarantined") {
			quarantined[number] = true
		}
	}
	is.True(fleet.Journal.Crashes() <= state.QuarantineThreshold)
}

// TestDeletedCallerKeyRejectedByAllHosts deletes a caller key. Once no host is
// reported as lagging, every host must reject the key, even on connections that
// were opened before.
func TestDeletedCallerKeyRejectedByAllHosts(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	for number := range fleet.Hosts {
		status, _, err := sendRequest(ctx, fleet, number, http.MethodGet, "/dispatchdesk/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	var reply admin.ApplyReply
	is.NoErr(fleet.CallOperatorAPI(ctx, 2, http.MethodDelete, "/api/v1/records/callerKey/k1?version=2", "application/json", nil, &reply))
	is.Equal(len(reply.Lagging), 0)
	for number := range fleet.Hosts {
		status, _, err := sendRequest(ctx, fleet, number, http.MethodGet, "/dispatchdesk/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusUnauthorized)
	}
}

// TestConcurrentRecordUpdates updates the same record to the same version through
// all hosts at once. Exactly one update may succeed for each version.
func TestConcurrentRecordUpdates(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	for version := 2; version < 7; version++ {
		won := make(chan int, len(fleet.Hosts))
		var wait sync.WaitGroup
		for number := range fleet.Hosts {
			wait.Add(1)
			go func() {
				defer wait.Done()
				document := fmt.Sprintf("[[workspace]]\nname = \"amman-calls\"\nschema = 2\nversion = %d\nweight = %d\n", version, number+1)
				if fleet.ApplyRecords(ctx, number, document) == nil {
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

// TestReplaceControlHost loses a control host together with its disk, replaces it
// through the operator API and kills a second control host right afterwards. The
// new member must already count towards the quorum.
func TestReplaceControlHost(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	killed := (fleet.Leader() + 1) % 3
	oldID := fleet.Hosts[killed].Node().ID()
	fleet.KillHost(killed)
	is.NoErr(os.RemoveAll(fleet.DataFolder(killed)))
	is.NoErr(fleet.StartHost(killed))
	body, err := json.Marshal(admin.MemberArgs{Action: "replace", Address: fleet.ControlAddress(killed), ID: oldID})
	is.NoErr(err)
	var reply admin.MemberReply
	is.NoErr(fleet.CallOperatorAPI(ctx, 3, http.MethodPost, "/api/v1/members", "application/json", body, &reply))
	is.Equal(len(reply.Members), 3)
	fleet.KillHost((killed + 1) % 3)
	is.NoErr(fleet.AwaitReady(ctx))
	is.NoErr(fleet.ApplyRecords(ctx, 3, "[[workspace]]\nname = \"after\"\nschema = 1\nversion = 1\n"))
}

// TestPeerRequestDuringStartup sends requests to the peer port of a host from
// before it starts until it answers. The first response must be a refusal that
// correctly reports that the request did not run.
func TestPeerRequestDuringStartup(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
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
	refusal, ok := outcome.(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonShardMoved)
	is.Equal(refusal.Ran, calls.RanNot)
}
