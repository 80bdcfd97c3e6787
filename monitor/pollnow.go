package monitor

// PollNow polls all members at once, without waiting for the poll interval.
func (m *Monitor) PollNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.wakePolls)
	m.wakePolls = make(chan struct{})
}
