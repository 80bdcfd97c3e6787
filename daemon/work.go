package daemon

// start runs short work, unless the daemon has ended: control calls may still
// come in then.
func (d *Daemon) start(f func() error) {
	d.working.Lock()
	defer d.working.Unlock()
	if !d.ended {
		d.group.Go(f)
	}
}

// end waits for short work, and lets none begin any more.
func (d *Daemon) end() {
	d.working.Lock()
	d.ended = true
	d.working.Unlock()
	_ = d.group.Wait()
}
