package pool

// AnswerFault is why an answer on a connection can't be that to the step sent last.
type AnswerFault string

// Possible values of AnswerFault.
const (
	// OutOfOrder means that the answer's messages follow each other in an order that no
	// answer has.
	OutOfOrder AnswerFault = "out-of-order"
)

// AnswerError reports an answer that can't be that to the step sent last. The connection
// is unusable after it, since answers don't name their step.
type AnswerError struct {
	Fault AnswerFault
	// Text says what arrived. It holds no data of a caller.
	Text string
}

func (e *AnswerError) Error() string { return "answer is " + string(e.Fault) + ": " + e.Text }
