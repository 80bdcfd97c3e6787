package fleet

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// The store may come back from an older copy: its era then rises, its revisions go
// back, and what was written since the copy is lost. The daemons outlive that: see
// docs/SYSTEM.md, "When the store comes back from a copy".

const (
	// eraReadDelay is how long a daemon that doesn't watch the store waits, after it
	// has heard of a new era, for another daemon's copy before it reads the store.
	eraReadDelay = 1500 * time.Millisecond
	// minRewriteSpread is the time over which all hosts write their records again, at
	// least. In a large fleet it is longer: see rewriteSpread.
	minRewriteSpread = time.Second
)

// eraState is what a daemon knows of the store's era.
type eraState struct {
	era uint64
	// since is a time by which the era had started, by the boot-time clock.
	since time.Time
	// known is set once the store, or a daemon that has heard of it, told an era.
	known bool
	// first is set if no process of the system ran before this era.
	first bool
}

// observeStoreEra takes note of the era of the store's answers so far.
func (f *Daemon) observeStoreEra() {
	if e, ok := f.config.Store.Era(); ok {
		f.observeEra(e, now(), true)
	}
}

// observeEra takes note of the store's era, which had started by the given time. first is
// set unless another daemon knows that processes ran in an earlier one.
func (f *Daemon) observeEra(era uint64, since time.Time, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &f.era
	switch {
	case !e.known:
		*e = eraState{era: era, since: since, known: true, first: first && f.config.Bootstrap}
		f.config.Log.Info("store era", "era", era, "first", e.first)
	case era > e.era:
		f.config.Log.Warn("the store has come back from an older copy", "era", era, "was", e.era, "copy", f.copy.Position().String(), "age-ms", now().Sub(since).Milliseconds())
		*e = eraState{era: era, since: since, known: true}
	case era == e.era && (since.Before(e.since) || e.first && !first):
		e.first = e.first && first
		if since.Before(e.since) {
			e.since = since
		}
	default:
		return
	}
	f.metrics.storeEra.Set(float64(e.era))
	for _, g := range f.groups {
		f.tellEra(g)
	}
}

// tellEra passes the store's era to a group; f.mu is held.
func (f *Daemon) tellEra(g *group) {
	if f.era.era > 0 {
		g.Handle(takeover.LeaseEvent{Event: lease.EraObserved{Era: f.era.era, Since: f.era.since, First: f.era.first}}, now())
	}
}

// eraReadDue reports whether this daemon has to read the store because its copy is of an
// earlier era. Others than the watchers leave others time to do so first.
func (f *Daemon) eraReadDue() bool {
	f.observeStoreEra()
	f.mu.Lock()
	e := f.era
	watches := f.currentOverlay().Watches
	f.mu.Unlock()
	return f.copy.Position().Era < e.era && (watches || now().Sub(e.since) > eraReadDelay)
}

// reportedRecords returns the records that this daemon knows and that the store may have
// lost; f.mu is held.
func (f *Daemon) reportedRecords() map[string]lease.Record {
	if f.era.era == 0 {
		return nil
	}
	var o map[string]lease.Record
	for name, g := range f.groups {
		r, ok := g.ReportedRecord()
		if !ok || !g.RecordRestored() {
			continue
		}
		if o == nil {
			o = map[string]lease.Record{}
		}
		o[name] = r
	}
	return o
}

// applyReportedRecords handles records that another daemon knows and that the store may
// have lost.
func (f *Daemon) applyReportedRecords(l map[string]lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range l {
		f.group(name).Handle(takeover.LeaseEvent{Event: lease.RecordReported{Record: r}}, now())
	}
}

// rewriteSpread returns the time over which all hosts write their records again, so that
// together they take half of the store's rate of writes. f.mu is held.
func (f *Daemon) rewriteSpread() time.Duration {
	if f.config.StoreWritesPerSecond <= 0 {
		return minRewriteSpread
	}
	const writesPerHost = 2
	n := writesPerHost * len(f.view.Hosts())
	return max(minRewriteSpread, 2*time.Duration(n)*time.Second/time.Duration(f.config.StoreWritesPerSecond))
}

// hostRecordLost makes this host register again: the store no longer has its record.
func (f *Daemon) hostRecordLost() {
	select {
	case f.registerAgain <- struct{}{}:
	default:
	}
}

// registrationDelay returns the delay before a lost record is written again.
func (f *Daemon) registrationDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.N(f.rewriteSpread())
}

// isOutdated reports whether a member's record is older than the one that this daemon
// knows: it comes from an older copy of the store, and the member will write it again.
// f.mu is held.
func (f *Daemon) isOutdated(m catalog.Member, sequence uint64) bool {
	old, ok := f.table.Member(m.ID)
	return f.era.era > 0 && ok && old.StartMillis == m.StartMillis && sequence < f.sequences[m.ID]
}

// newerConfiguration returns the configuration in force if it is newer than the given
// version and than the store's, which has lost it.
func (f *Daemon) newerConfiguration(version uint64) []byte {
	i, _ := f.copy.Item(f.config.Decoder.ConfigurationKey)
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.catalog.Load()
	if k == nil || k.Version <= version || bytes.Equal(i.Value, f.configuration) {
		return nil
	}
	return f.configuration
}

// configurationVersion returns the version in force; zero if there is none.
func (f *Daemon) configurationVersion() uint64 {
	if k := f.catalog.Load(); k != nil {
		return k.Version
	}
	return 0
}

// checkEra returns an error if a later era of the store is known than the one that a
// conditional write was prepared in.
func (f *Daemon) checkEra(w store.Write) error {
	f.observeStoreEra()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era.era > w.Era {
		return Error.Wrap(&store.EraChangedError{Known: w.Era, Now: f.era.era})
	}
	return nil
}
