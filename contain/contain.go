// Package contain limits a failure to the piece of work in which it occurs: a
// caller's connection, a call of another daemon, a statement at a member, a task.
// A panic there ends that work with a typed error, and an error of Accept doesn't
// end the server.
//
// Only work whose state belongs to it is contained. State that is shared under a
// lock may be left inconsistent by a panic inside the critical section: a daemon
// that finds such a lock still held ends on purpose.
package contain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("contain")

// panics counts the panics by the work that they ended.
var panics = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "dragonflypick_contained_panics_total", Help: "Panics that ended only the work in which they occurred.",
}, []string{"work"})

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector { return []prometheus.Collector{panics} }

// PanicError reports that a piece of work ended in a panic. What it did before is
// unknown.
type PanicError struct {
	// Work names the kind of work.
	Work string
	// Value is the value of the panic.
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s ended in a panic: %v", e.Work, e.Value) }

// IsPanic reports whether an error was caused by a contained panic.
func IsPanic(err error) bool {
	var p *PanicError
	return errors.As(err, &p)
}

// Run runs a piece of work and returns its error, or a *PanicError if it panics.
// The stack of a panic is logged.
func Run(l hclog.Logger, work string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.WithLabelValues(work).Inc()
			l.Error("work ended in a panic", "work", work, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			err = Error.Wrap(&PanicError{Work: work, Value: v})
		}
	}()
	return f()
}

// Delays after an error of Accept, for example while no file descriptor is free.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Accept accepts connections and passes them to serve until the context ends or
// the listener is closed. After any other error it retries with a growing delay:
// open connections can still be served. The returned error is the one that ended
// it, nil if the context has ended.
func Accept(x context.Context, l net.Listener, log hclog.Logger, serve func(net.Conn)) error {
	d := minAcceptDelay
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			d = minAcceptDelay
			serve(c)
			continue
		case x.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return Error.Wrap(err)
		}
		log.Warn("accepting a connection failed", "address", l.Addr().String(), "error", err, "retry-after-ms", d.Milliseconds())
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-x.Done():
			t.Stop()
			return nil
		}
		d = min(2*d, maxAcceptDelay)
	}
}
