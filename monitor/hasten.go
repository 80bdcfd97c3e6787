package monitor

// Hasten polls all members at once instead of at the next interval.
func (m *Monitor) Hasten() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.wakePolls)
	m.wakePolls = make(chan struct{})
}
