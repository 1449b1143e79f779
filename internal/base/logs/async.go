package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 2048
	// droppedEvery is how often dropped lines are told.
	droppedEvery = time.Second
)

// Async writes lines from a task of its own, so that nobody waits for the log.
// Lines that come faster than they can be written are dropped and counted.
type Async struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsync starts a writer of lines.
func NewAsync(writer io.Writer) *Async {
	async := &Async{
		writer: writer, lines: make(chan []byte, asyncLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go async.run()
	return async
}

// Write takes one line. It never blocks and never fails.
func (async *Async) Write(line []byte) (int, error) {
	select {
	case async.lines <- append([]byte(nil), line...):
	default:
		async.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the task.
func (async *Async) Close() {
	close(async.stop)
	<-async.done
}

func (async *Async) run() {
	defer close(async.done)
	ticker := time.NewTicker(droppedEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-async.lines:
			async.put(line)
		case <-ticker.C:
			async.tellDropped()
		case <-async.stop:
			async.drain()
			return
		}
	}
}

func (async *Async) drain() {
	for {
		select {
		case line := <-async.lines:
			async.put(line)
		default:
			async.tellDropped()
			return
		}
	}
}

// put writes a line. A log that can't be written is counted like one that was
// dropped.
func (async *Async) put(line []byte) {
	if _, err := async.writer.Write(line); err != nil {
		async.dropped.Add(1)
	}
}

func (async *Async) tellDropped() {
	if count := async.dropped.Swap(0); count > 0 {
		async.put([]byte(`{"level":"warn","message":"log: lines were dropped","fields":{"lines":` + strconv.FormatUint(count, 10) + "}}\n"))
	}
}
