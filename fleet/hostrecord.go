package fleet

import (
	"encoding/json"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

// hostRecord is a host's record in the store.
type hostRecord struct {
	host     membership.Host
	position store.Position
}

// applyHostRecord updates a host from its record, and reports whether it changed.
func (f *Daemon) applyHostRecord(i store.Item) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i.Removed {
		_, ok := f.hostRecords[i.Key]
		delete(f.hostRecords, i.Key)
		if i.Key == hostPrefix+f.config.Self.ID {
			f.hostRecordLost()
		}
		return ok
	}
	var h membership.Host
	if err := json.Unmarshal(i.Value, &h); err != nil {
		f.config.Log.Warn("invalid host record", "key", i.Key, "error", err)
		return false
	}
	f.hostRecords[i.Key] = hostRecord{host: h, position: i.Position}
	return true
}

// updateHosts updates the view from the hosts' records.
func (f *Daemon) updateHosts() {
	f.mu.Lock()
	l := runningHosts(f.hostRecords)
	f.mu.Unlock()
	f.updateView(membership.ListReceived{Hosts: l})
}

// runningHosts returns the hosts with a record. Of several records with the same
// address only the newest counts: the processes of the older ones have ended.
func runningHosts(l map[string]hostRecord) []membership.Host {
	newest := map[string]hostRecord{}
	for _, r := range l {
		if o, ok := newest[r.host.PeerAddress]; !ok || o.position.Before(r.position) {
			newest[r.host.PeerAddress] = r
		}
	}
	var o []membership.Host
	for _, r := range newest {
		o = append(o, r.host)
	}
	return o
}
