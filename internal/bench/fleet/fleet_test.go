package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/entry/front"
)

// recordsDocument holds the records of a workspace, a keyed service and an unkeyed
// service.
var recordsDocument = fmt.Sprintf(`
[[workspace]]
name = "amman-calls"
schema = 1
version = 1

[[callerKey]]
name = "k1"
schema = 1
version = 1
workspace = "amman-calls"
hash = %q

[[rate]]
name = "amman-calls"
schema = 2
version = 1
workspace = "amman-calls"
requests = 500
burst = 100

[[service]]
name = "fieldjobs"
schema = 1
version = 1
partitions = 32
timeoutSeconds = 5

[[service]]
name = "dispatchdesk"
schema = 2
version = 1
timeout = "5s"
`, front.HashSecret("open"))

// startTestFleet starts four hosts, three of which are control hosts, and the
// upstreams of both services, and waits until all keys have owners.
func startTestFleet(t *testing.T) (*Fleet, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	fleet, err := Start(ctx, Options{
		Hosts: 4, ControlHosts: 3, DataCentres: []string{"amman-north", "zarqa", "madaba"}, Folder: t.TempDir(),
		Log: &log.Logger{Handler: discard.New()},
	})
	is.NoErr(err)
	t.Cleanup(fleet.Close)
	is.NoErr(fleet.ApplyRecords(ctx, 1, recordsDocument))
	for number := range 3 {
		_, err := fleet.StartUpstream(fake.Options{
			Service: "fieldjobs", Name: fmt.Sprintf("jobs-%d", number), DataCentre: "zarqa", Slots: 2,
			ServiceTime: 2 * time.Millisecond, ColdRate: 200, ColdRamp: time.Second, Keyed: true, KeyHeader: "Resource-Key",
			ChecksToken: true,
		})
		is.NoErr(err)
	}
	for number := range 2 {
		_, err := fleet.StartUpstream(fake.Options{
			Service: "dispatchdesk", Name: fmt.Sprintf("desk-%d", number), DataCentre: "zarqa", Slots: 2,
			ServiceTime: 2 * time.Millisecond, ColdRate: 200, ColdRamp: time.Second,
		})
		is.NoErr(err)
	}
	is.NoErr(fleet.AwaitOwners(ctx, "fieldjobs"))
	return fleet, ctx
}

// sendRequest sends a caller's request to a host and returns the status and the
// body of the response.
func sendRequest(ctx context.Context, fleet *Fleet, number int, method, path string, header map[string]string) (int, string, error) {
	url := "http://" + fleet.CallerAddress(number).String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+front.FormatKey("k1", "open"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestRequestsThroughEveryHost sends requests for both services through every
// host and checks that a resent write is not run again: the stored response is
// replayed instead.
func TestRequestsThroughEveryHost(t *testing.T) {
	is := is.New(t)
	fleet, ctx := startTestFleet(t)
	for number := range fleet.Hosts {
		status, body, err := sendRequest(ctx, fleet, number, http.MethodGet, "/dispatchdesk/prices", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, `"workspace":"amman-calls"`))
		for key := range 5 {
			status, body, err := sendRequest(ctx, fleet, number, http.MethodPost, "/fieldjobs/book", map[string]string{
				"Resource-Key": fmt.Sprintf("van-%d", key), "Idempotency-Key": fmt.Sprintf("booking-%d", key),
			})
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.True(strings.Contains(body, fmt.Sprintf(`"key":"van-%d"`, key)))
		}
	}
	for key := range 5 {
		is.Equal(fleet.Journal.Executions(fmt.Sprintf("booking-%d", key)), 1) // sent through four hosts, run once
	}
	for _, upstream := range fleet.Upstreams {
		is.Equal(upstream.Violations(), fake.Violations{})
	}
}
