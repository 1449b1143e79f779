package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines and maxBufferedBytes bound the lines that wait to be written.
	maxBufferedLines   = 2048
	maxBufferedBytes   = 1 << 20
	dropReportInterval = time.Second
)

// Async is a writer that buffers lines and writes them in a goroutine of its
// own, so that logging never blocks. Lines that do not fit into the buffer are
// dropped and counted.
type Async struct {
	writer io.Writer
	lines  chan []byte
	// buffered is the number of bytes in lines.
	buffered atomic.Int64
	dropped  atomic.Uint64
	stop     chan struct{}
	done     chan struct{}
}

// NewAsync returns an Async that writes to writer, and starts its goroutine.
func NewAsync(writer io.Writer) *Async {
	async := &Async{
		writer: writer, lines: make(chan []byte, maxBufferedLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go async.run()
	return async
}

// Write queues one line. It never blocks and never fails.
func (async *Async) Write(line []byte) (int, error) {
	size := int64(len(line))
	if async.buffered.Add(size) > maxBufferedBytes {
		async.buffered.Add(-size)
		async.dropped.Add(1)
		return len(line), nil
	}
	select {
	case async.lines <- append([]byte(nil), line...):
	default:
		async.buffered.Add(-size)
		async.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the goroutine.
func (async *Async) Close() {
	close(async.stop)
	<-async.done
}

func (async *Async) run() {
	defer close(async.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-async.lines:
			async.buffered.Add(-int64(len(line)))
			async.writeLine(line)
		case <-ticker.C:
			async.reportDropped()
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
			async.writeLine(line)
		default:
			async.reportDropped()
			return
		}
	}
}

// writeLine writes a line. A line that can't be written is counted as dropped.
func (async *Async) writeLine(line []byte) {
	if _, err := async.writer.Write(line); err != nil {
		async.dropped.Add(1)
	}
}

func (async *Async) reportDropped() {
	if count := async.dropped.Swap(0); count > 0 {
		async.writeLine([]byte(`{"level":"warn","message":"log: lines were dropped","fields":{"lines":` + strconv.FormatUint(count, 10) + "}}\n"))
	}
}
