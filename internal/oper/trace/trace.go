// Package trace merges the log lines of several hosts about one request in time
// order, together with the changes of ownership and upstream state that may have
// affected it.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("trace")

const (
	// Lookback is how far back from the request's first line state changes are included.
	Lookback = 5 * time.Second
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// Line is one structured log line.
type Line struct {
	// Source is the text before the line's JSON, such as a host's name.
	Source  string
	At      time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// text returns a string field, or "" if the line has no such field.
func (line Line) text(field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// number returns a numeric field.
func (line Line) number(field string) (float64, bool) {
	value, ok := line.Fields[field].(float64)
	return value, ok
}

// Read parses a log. Lines that are not structured log lines are skipped.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line := Line{Source: strings.TrimSpace(string(scanner.Bytes()[:start]))}
		if json.Unmarshal(scanner.Bytes()[start:], &line) != nil || line.Message == "" {
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.New("read log: %w", err)
	}
	return lines, nil
}

// scope describes which state changes may have affected a request: its service
// and key, the upstreams that it was sent to, and its time range.
type scope struct {
	service   string
	key       float64
	keyed     bool
	upstreams map[string]bool
	from, to  time.Time
}

// Timeline returns the lines about a request, and the state changes of its key and
// its upstreams from shortly before its first line to its last, in time order. It
// returns nil if no line has the request's ID.
func Timeline(lines []Line, request string) []Line {
	selected := scope{upstreams: map[string]bool{}}
	var timeline []Line
	for _, line := range lines {
		if line.text("request") == request {
			timeline = append(timeline, line)
			selected.add(line)
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	for _, line := range lines {
		if line.text("request") == "" && selected.matches(line) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, func(left, right Line) int { return left.At.Compare(right.At) })
	return timeline
}

// add extends the scope by a line about the request.
func (scope *scope) add(line Line) {
	if service := line.text("service"); service != "" {
		scope.service = service
	}
	if key, ok := line.number("key"); ok {
		scope.key, scope.keyed = key, true
	}
	if upstream := line.text("upstream"); upstream != "" {
		scope.upstreams[upstream] = true
	}
	if scope.from.IsZero() || line.At.Before(scope.from) {
		scope.from = line.At
	}
	if line.At.After(scope.to) {
		scope.to = line.At
	}
}

// matches reports whether a line is a state change within the scope: it names one
// of the upstreams, or a range of the service's keys that includes the key.
func (scope *scope) matches(line Line) bool {
	if line.At.Before(scope.from.Add(-Lookback)) || line.At.After(scope.to) {
		return false
	}
	for _, field := range []string{"upstream", "owner", "next"} {
		if scope.upstreams[line.text(field)] {
			return true
		}
	}
	from, ranged := line.number("from")
	to, _ := line.number("to")
	return ranged && scope.keyed && line.text("service") == scope.service && from <= scope.key && scope.key <= to
}

// Write prints one line of text for each log line: time, source, message and
// fields.
func Write(writer io.Writer, timeline []Line) error {
	for _, line := range timeline {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if value := fmt.Sprint(line.Fields[name]); value != "" && name != "request" {
				fields = append(fields, name+"="+value)
			}
		}
		_, err := fmt.Fprintf(writer, "%s  %s  %s  %s\n", line.At.Format("15:04:05.000"), line.Source, line.Message, strings.Join(fields, " "))
		if err != nil {
			return Error.New("write timeline: %w", err)
		}
	}
	return nil
}
