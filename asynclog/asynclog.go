// Package asynclog writes log lines without ever blocking who logs.
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
	// waiting is the number of lines that may wait to be written.
	waiting = 2048
	// perSecond bounds the lines that are written in a second, since writing is
	// charged to the process like any work.
	perSecond = 200
)

// Writer passes lines on to another writer in the background. Lines that come
// too fast are left out and counted.
type Writer struct {
	w     io.Writer
	lines chan []byte
	// lost counts the lines left out since the last report.
	lost atomic.Uint64
}

// New returns a writer that passes lines on to w while Run runs.
func New(w io.Writer) *Writer { return &Writer{w: w, lines: make(chan []byte, waiting)} }

// Write takes a line in. It never fails and never blocks.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.lost.Add(1)
	}
	return len(b), nil
}

// Run writes lines until the context ends, and then those that still wait.
func (w *Writer) Run(x context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	n := 0
	for {
		select {
		case b := <-w.lines:
			if n++; n > perSecond {
				w.lost.Add(1)
				continue
			}
			if _, err := w.w.Write(b); err != nil {
				return err
			}
		case <-t.C:
			n = 0
			w.report()
		case <-x.Done():
			return w.flush()
		}
	}
}

// report tells how many lines were left out.
func (w *Writer) report() {
	if l := w.lost.Swap(0); l > 0 {
		_, _ = io.WriteString(w.w, `{"@level":"warn","@message":"log lines left out","lines":`+strconv.FormatUint(l, 10)+"}\n")
	}
}

func (w *Writer) flush() error {
	w.report()
	for {
		select {
		case b := <-w.lines:
			if _, err := w.w.Write(b); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
