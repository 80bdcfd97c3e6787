package pool

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// maxRecent is how many answers of a kind a connection remembers.
const maxRecent = 512

// unsigned is the signature of an answer to a step that members don't sign.
const unsigned = "-"

// recentSet remembers the hashes that were added last.
type recentSet struct {
	hashes []uint64
	// next is the index of the oldest hash once the set is full.
	next int
}

// add adds a hash, and reports whether the set had it.
func (s *recentSet) add(h uint64) bool {
	if slices.Contains(s.hashes, h) {
		return true
	}
	if len(s.hashes) < maxRecent {
		s.hashes = append(s.hashes, h)
		return false
	}
	s.hashes[s.next] = h
	s.next = (s.next + 1) % maxRecent
	return false
}

// answerRecord is what a connection has answered so far. It tells answers that can't be
// those to the step sent last; docs/design/answers.md weighs what is left.
type answerRecord struct {
	// state and position are those of the last answer; state is Idle at first.
	state    query.State
	position logpos.Position
	// signatures and refusals hold the hashes of the recent ones.
	signatures, refusals recentSet
	// refused is set once the connection has answered a step with a refusal.
	refused bool
}

// check records the answer o to step s, or returns why it isn't one.
func (r *answerRecord) check(s query.Step, o query.Reply) *AnswerError {
	var e *AnswerError
	switch {
	case !o.Position.IsZero() && o.Position.Less(r.position):
		e = &AnswerError{Fault: EarlierPosition, Text: "position " + o.Position.String() + " after " + r.position.String()}
	case o.Failure != nil:
		e = r.checkRefusal(s, o)
	default:
		e = r.checkCompletion(s, o)
	}
	if e != nil {
		return e
	}
	r.state = o.State
	if !o.Position.IsZero() {
		r.position = o.Position
	}
	return nil
}

func (r *answerRecord) checkRefusal(s query.Step, o query.Reply) *AnswerError {
	h := xxhash.Sum64String(string(o.Failure.Reason) + "\x00" + o.Failure.Text + "\x00" + string(rune(o.State)) + o.Position.String())
	if r.refusals.add(h) {
		return &AnswerError{Fault: Repeated, Text: string(o.Failure.Reason) + " at the same position as before", Refusal: &o}
	}
	r.refused = true
	end, ok := s.(query.EndTransaction)
	committed := ok && end.Commit
	if r.state == query.Idle && o.State == query.Open || r.state == query.Open && o.State == query.Idle && !committed {
		return r.wrongState(o)
	}
	return nil
}

func (r *answerRecord) checkCompletion(s query.Step, o query.Reply) *AnswerError {
	signed, rows, state := r.expectation(s)
	none := o.Signature == "" || o.Signature == unsigned
	switch {
	case !none && r.signatures.add(xxhash.Sum64String(o.Signature)):
		return &AnswerError{Fault: Replayed, Text: "the signature was delivered before"}
	case none && signed:
		return &AnswerError{Fault: Unsigned, Text: "no signature"}
	case !none && !signed:
		return &AnswerError{Fault: WrongKind, Text: "a signature of a step that has none"}
	case len(o.Rows) > 0 && !rows:
		return &AnswerError{Fault: WrongKind, Text: "rows of a step that has none"}
	case o.State != state:
		return r.wrongState(o)
	}
	return nil
}

// expectation returns whether the completion of a step is signed, whether it may have
// rows, and the state after it.
func (r *answerRecord) expectation(s query.Step) (signed, rows bool, state query.State) {
	switch s := s.(type) {
	case query.RunStatement:
		return true, true, r.state
	case query.BeginTransaction:
		return false, false, query.Open
	case query.EndTransaction:
		return s.Commit, false, query.Idle
	case query.GetStatus, query.Demote:
		return false, true, r.state
	default:
		return false, false, r.state
	}
}

func (r *answerRecord) wrongState(o query.Reply) *AnswerError {
	return &AnswerError{Fault: WrongState, Text: "state " + string(rune(o.State)) + " after " + string(rune(r.state))}
}

// changesData reports whether a request may have an effect that is kept.
func changesData(r *query.Request) bool {
	return r.Action != query.ActionRead || r.Stage == query.First && !r.ReadOnly
}
