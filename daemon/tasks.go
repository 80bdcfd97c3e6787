package daemon

// startTask runs a task in the background. It does nothing once the daemon has
// stopped, as control calls may still arrive then.
func (d *Daemon) startTask(f func() error) {
	d.tasksMu.Lock()
	defer d.tasksMu.Unlock()
	if !d.stopped {
		d.tasks.Go(f)
	}
}

// stopTasks prevents new tasks and waits for the running ones.
func (d *Daemon) stopTasks() {
	d.tasksMu.Lock()
	d.stopped = true
	d.tasksMu.Unlock()
	_ = d.tasks.Wait()
}
