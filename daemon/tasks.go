package daemon

// startTask runs short work, unless the daemon has ended: control calls may still
// come in then.
func (d *Daemon) startTask(f func() error) {
	d.tasksMu.Lock()
	defer d.tasksMu.Unlock()
	if !d.stopped {
		d.tasks.Go(f)
	}
}

// stopTasks waits for short work, and lets none begin any more.
func (d *Daemon) stopTasks() {
	d.tasksMu.Lock()
	d.stopped = true
	d.tasksMu.Unlock()
	_ = d.tasks.Wait()
}
