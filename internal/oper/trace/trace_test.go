package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = `  1.2 edge-1 {"fields":{"request":"r1","service":"jobs","key":7,"upstream":"u1","reason":"misplaced"},"timestamp":"2026-01-01T00:00:10Z","message":"relay: the request is sent again"}
core-1 {"fields":{"service":"jobs","from":0,"to":9,"owner":"u2"},"timestamp":"2026-01-01T00:00:09Z","message":"steer: keys change"}
core-1 {"fields":{"service":"jobs","from":10,"to":19,"owner":"u3"},"timestamp":"2026-01-01T00:00:09Z","message":"steer: keys change"}
core-1 {"fields":{"upstream":"u1"},"timestamp":"2026-01-01T00:00:08Z","message":"steer: an upstream leaves"}
core-1 {"fields":{"upstream":"u1"},"timestamp":"2026-01-01T00:00:01Z","message":"steer: too long ago"}
not a log line
edge-1 {"cut":
edge-1 {"fields":{"request":"r2","upstream":"u1"},"timestamp":"2026-01-01T00:00:09Z","message":"relay: another request"}
edge-1 {"fields":{"request":"r1","status":200},"timestamp":"2026-01-01T00:00:11Z","message":"relay: the request is answered"}
`

// TestTimeline checks that the lines about a request are merged in time order
// with the state changes of its key and upstreams, and that other lines are left
// out: other requests, other key ranges, older changes and malformed lines.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(sample))
	is.NoErr(err)
	is.Equal(len(lines), 7)
	var messages []string
	timeline := Timeline(lines, "r1")
	for _, line := range timeline {
		messages = append(messages, line.Message)
	}
	is.Equal(messages, []string{
		"steer: an upstream leaves", "steer: keys change", "relay: the request is sent again", "relay: the request is answered",
	})
	is.Equal(timeline[2].Source, "1.2 edge-1")
	is.Equal(len(Timeline(lines, "unknown")), 0)
	var text strings.Builder
	is.NoErr(Write(&text, timeline))
	is.True(strings.Contains(text.String(), "reason=misplaced"))
}
