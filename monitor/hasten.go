package monitor

// PollNow polls all members at once instead of at the next interval.
func (m *Monitor) PollNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.kick)
	m.kick = make(chan struct{})
}
