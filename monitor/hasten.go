package monitor

// Hasten polls all members at once, without waiting for the poll interval.
func (m *Monitor) Hasten() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.wakePolls)
	m.wakePolls = make(chan struct{})
}
