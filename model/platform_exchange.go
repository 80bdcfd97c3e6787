package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/store"
)

// exchangeRecords requests the record of a random daemon, on average every
// recordExchangeInterval.
func (d *PlatformDaemon) exchangeRecords() {
	if o := d.randomDaemon(); o != nil {
		d.callDaemon(o, "exchange", callTimeout, func(reply func(any)) {
			r, ok := o.group.ReportedRecord()
			if !o.group.RecordRestored() {
				r, ok = o.group.Record()
			}
			reply(exchangeAnswer{known: ok, record: r, position: o.group.RecordPosition(), restored: o.group.RecordRestored(), era: o.era, eraAge: o.world.now.Sub(o.eraSince)})
		}, func(v any, _ bool) {
			if s, ok := v.(exchangeAnswer); ok {
				d.observeExchange(s)
			}
		})
	}
	d.after(recordExchangeInterval/2+time.Duration(d.world.random.Float64()*float64(recordExchangeInterval)), d.exchangeRecords)
}

// exchangeAnswer is what a daemon tells another one.
type exchangeAnswer struct {
	// record is the latest one that the daemon knows; the store may have lost it if
	// restored is set.
	record   lease.Record
	known    bool
	restored bool
	position store.Position
	era      uint64
	eraAge   time.Duration
}

func (d *PlatformDaemon) observeExchange(s exchangeAnswer) {
	if s.era > 0 {
		d.observeEra(s.era, d.world.now.Add(-s.eraAge))
	}
	switch {
	case !s.known:
	case s.restored:
		d.handleLeaseEvent(lease.RecordReported{Record: s.record})
	default:
		d.observeRecord(recordAnswer{record: s.record, position: s.position}, time.Time{})
	}
}

// renewHostRecord writes the daemon's host record every hostRenewInterval.
func (d *PlatformDaemon) renewHostRecord() {
	d.writeHostRecord()
	d.after(hostRenewInterval, d.renewHostRecord)
}

// writeHostRecord writes the daemon's host record into the store. If the record
// is new or has changed, the store sends the list of hosts to the daemons.
func (d *PlatformDaemon) writeHostRecord() {
	t := d.world.now
	d.world.callStoreDirectly(d, func() any {
		known := d.world.hostRecords[d.host.ID] == d.host
		if !known {
			d.world.hostsRegistered[d.host.ID] = t
		}
		d.world.hostRenewals[d.host.ID], d.world.hostRecords[d.host.ID] = t, d.host
		if !known {
			d.world.sendHostList()
		}
		return true
	}, true, func(_ any, ok bool) { d.registered = d.registered || ok })
}
