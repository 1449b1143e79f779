package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start.
type record struct {
	mutex  sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

func (record *record) line(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and also prints it.
func (record *record) say(format string, args ...any) {
	record.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
