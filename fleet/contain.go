package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/contain"
)

// spawn runs a function concurrently. It may outlive the caller; its context ends
// with the daemon.
func (f *Daemon) spawn(w func(x context.Context)) {
	f.tasks.Go(func() error {
		f.contain("task", func() { w(f.ctx) })
		return nil
	})
}

// contain runs a function and reports whether it returned; a panic is logged. If the
// daemon's state is still locked afterwards, the daemon ends.
func (f *Daemon) contain(work string, w func()) bool {
	err := contain.Run(f.config.Log, work, func() error {
		w()
		return nil
	})
	if err == nil {
		return true
	}
	for t := time.Now(); f.locked(); {
		if time.Since(t) > lockTimeout {
			f.config.Log.Error("daemon ends: its state is locked after a panic", "work", work)
			select {
			case f.failed <- err:
			default:
			}
			return false
		}
		sleep(f.ctx, time.Millisecond)
	}
	return false
}

// locked reports whether the daemon's state is locked.
func (f *Daemon) locked() bool {
	for _, m := range []*sync.Mutex{&f.mu, &f.rates.mu} {
		if !m.TryLock() {
			return true
		}
		m.Unlock()
	}
	return false
}
