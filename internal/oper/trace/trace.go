// Package trace puts the log lines of several hosts about one request in order,
// with the changes of belief that bear on it.
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
	// Before is how far back changes of belief are looked for.
	Before = 5 * time.Second
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	// Source is what stands before the line's JSON, such as a host's name.
	Source  string
	At      time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// text returns a field as text.
func (line Line) text(field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// number returns a field as a number.
func (line Line) number(field string) (float64, bool) {
	value, ok := line.Fields[field].(float64)
	return value, ok
}

// Read returns the lines of a log, without those that are no log lines.
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

// subject is what a request was about.
type subject struct {
	service   string
	key       float64
	keyed     bool
	upstreams map[string]bool
	from, to  time.Time
}

// Story returns the lines about a request, and the changes of belief about its
// key and its upstreams in the time before, in order.
func Story(lines []Line, request string) []Line {
	about := subject{upstreams: map[string]bool{}}
	var story []Line
	for _, line := range lines {
		if line.text("request") == request {
			story = append(story, line)
			about.add(line)
		}
	}
	if len(story) == 0 {
		return nil
	}
	for _, line := range lines {
		if line.text("request") == "" && about.concerns(line) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(left, right Line) int { return left.At.Compare(right.At) })
	return story
}

func (subject *subject) add(line Line) {
	if service := line.text("service"); service != "" {
		subject.service = service
	}
	if key, ok := line.number("key"); ok {
		subject.key, subject.keyed = key, true
	}
	if upstream := line.text("upstream"); upstream != "" {
		subject.upstreams[upstream] = true
	}
	if subject.from.IsZero() || line.At.Before(subject.from) {
		subject.from = line.At
	}
	if line.At.After(subject.to) {
		subject.to = line.At
	}
}

// concerns tells whether a change of belief bears on the subject.
func (subject *subject) concerns(line Line) bool {
	if line.At.Before(subject.from.Add(-Before)) || line.At.After(subject.to) {
		return false
	}
	for _, field := range []string{"upstream", "owner", "next"} {
		if subject.upstreams[line.text(field)] {
			return true
		}
	}
	from, ranged := line.number("from")
	to, _ := line.number("to")
	return ranged && subject.keyed && line.text("service") == subject.service && from <= subject.key && subject.key <= to
}

// Write prints a story, one line each: when, who, what, and on what grounds.
func Write(writer io.Writer, story []Line) error {
	for _, line := range story {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if value := fmt.Sprint(line.Fields[name]); value != "" && name != "request" {
				fields = append(fields, name+"="+value)
			}
		}
		_, err := fmt.Fprintf(writer, "%s  %s  %s  %s\n", line.At.Format("15:04:05.000"), line.Source, line.Message, strings.Join(fields, " "))
		if err != nil {
			return Error.New("write story: %w", err)
		}
	}
	return nil
}
