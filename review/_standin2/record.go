package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, a ...any) {
	r.line("NOTE "+format, a...)
	fmt.Printf("%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
