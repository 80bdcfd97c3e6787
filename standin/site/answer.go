package site

// add adds a message to the answer.
func (s *backendSession) add(kind string, fields ...string) {
	s.answer = appendMessage(s.answer, kind, fields...)
}

// refuse refuses the session. It returns false.
func (s *backendSession) refuse(code string) bool {
	s.add("ERROR", code, s.member.id)
	_ = s.write(s.answer)
	return false
}

func (s *backendSession) sendError(code string) {
	s.add("ERROR", code, s.member.id+s.member.site.signer.ending(uint64(len(code))))
	if s.state == 'T' {
		s.state = 'E'
	}
}

func (s *backendSession) sendComplete(signature string) { s.add("COMPLETE", signature) }

// sendSigned sends rows and the signature for them.
func (s *backendSession) sendSigned(id string, rows []string) {
	for _, r := range rows {
		s.add("ROW", r)
	}
	s.sendComplete(s.member.site.signer.sign(id, rows))
}

// write sends messages at once.
func (s *backendSession) write(b []byte) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, err := s.conn.Write(b)
	return err
}
