// Package asynclog writes log lines in the background, so that logging never
// blocks.
package asynclog

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// Limits of the log.
const (
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the lines written per second, because writing them
	// takes processor time, which is limited for the process.
	maxLinesPerSecond = 200
	// maxLineSize is the size in bytes of the longest line that is kept whole. Callers
	// choose IDs and names that are logged.
	maxLineSize = 8 << 10
)

// cutMark ends a line that was cut.
const cutMark = "...\n"


// Writer passes lines to another writer in the background. It drops and counts
// lines that exceed the queue's capacity or the rate limit.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines dropped since the last report.
	dropped atomic.Uint64
}

// New returns a writer that passes lines to w while Run runs.
func New(w io.Writer) *Writer { return &Writer{out: w, lines: make(chan []byte, queueCapacity)} }

// Write queues a line, cut at maxLineSize, or drops it if the queue is full. It never
// fails and never blocks.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- copyLine(b):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

func copyLine(b []byte) []byte {
	if len(b) <= maxLineSize {
		return append([]byte(nil), b...)
	}
	return append(append(make([]byte, 0, maxLineSize), b[:maxLineSize-len(cutMark)]...), cutMark...)
}

// Run writes lines until the context ends, and then the lines left in the queue.
func (w *Writer) Run(x context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	n := 0
	for {
		select {
		case b := <-w.lines:
			if n++; n > maxLinesPerSecond {
				w.dropped.Add(1)
				continue
			}
			if _, err := w.out.Write(b); err != nil {
				return err
			}
		case <-t.C:
			n = 0
			w.reportDropped()
		case <-x.Done():
			return w.flush()
		}
	}
}

// reportDropped writes a log line with the number of dropped lines, if any.
func (w *Writer) reportDropped() {
	if l := w.dropped.Swap(0); l > 0 {
		_, _ = io.WriteString(w.out, `{"@level":"warn","@message":"log lines dropped","lines":`+strconv.FormatUint(l, 10)+"}\n")
	}
}

func (w *Writer) flush() error {
	w.reportDropped()
	for {
		select {
		case b := <-w.lines:
			if _, err := w.out.Write(b); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
