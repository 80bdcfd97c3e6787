package fleet

import (
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/store"
)

// CallerCatalog returns the configuration by which callers are served. It is nil
// before the first one, and while one that names teams isn't confirmed: see
// storecopy.Confirmation.
func (f *Daemon) CallerCatalog() *catalog.Catalog {
	k := f.Catalog()
	if k == nil || len(k.Teams) == 0 || f.configurationConfirmed.Load() {
		return k
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmConfiguration() {
		return nil
	}
	return k
}

// redact removes the secrets from the configuration among items of the store. One that
// can't be read becomes empty.
func (f *Daemon) redact(l []store.Item) []store.Item {
	for n, i := range l {
		if i.Key != f.config.Decoder.ConfigurationKey || i.Removed || f.config.Decoder.Redact == nil {
			continue
		}
		v, err := f.config.Decoder.Redact(i.Value)
		if err != nil {
			f.config.Log.Error("invalid configuration", "position", i.Position.String(), "error", err)
		}
		l[n].Value = v
	}
	return l
}

// observeConfirmation takes note that this daemon has taken over what the store or
// another daemon knows; from is fromStore or the ID of the daemon.
func (f *Daemon) observeConfirmation(from string) {
	if f.configurationConfirmed.Load() || f.Catalog() == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	if age, ok := f.copy.Age(t); ok {
		f.confirmation.StoreRead(age, f.era.era > 0, len(f.livePeers()) == 0)
	}
	if from != fromStore {
		f.confirmation.Exchanged(from, t)
	}
	f.confirmConfiguration()
}

// confirmConfiguration reports whether the configuration is confirmed, and logs it
// when it becomes so; f.mu is held.
func (f *Daemon) confirmConfiguration() bool {
	if f.configurationConfirmed.Load() {
		return true
	}
	if !f.confirmation.Confirmed(now()) {
		return false
	}
	f.configurationConfirmed.Store(true)
	f.config.Log.Info("configuration confirmed", "version", f.configurationVersion(), "copy-age-ms", f.copyAgeMillis())
	return true
}
