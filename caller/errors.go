package caller

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
)

// SQLSTATEs of errors that the proxy itself returns to callers.
const (
	codeProtocol            = "08P01"
	codeInDoubt             = "08007"
	codeUnsupported         = "0A000"
	codeBadPassword         = "28P01"
	codeUnknownGroup        = "3D000"
	codeNotAllowed          = "42501"
	codeTooManyConnections  = "53300"
	codeTooLarge            = "54000"
	codeShutdown            = "57P01"
	codeCannotConnectNow    = "57P03"
	codeCanceled            = "57014"
	codeBadSetting          = "22023"
	codeUnknownSetting      = "42704"
	codeNoPreparedStatement = "26000"
	codeFailedTransaction   = "25P02"
	codeReadOnly            = "25006"
	codeInternalError       = "XX000"
)

// RefusedError is an error returned to a caller by the proxy itself, not by a
// backend server.
type RefusedError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
	Hint    string
}

func (e *RefusedError) Error() string { return e.Message }

// response returns the error as a protocol message.
func (e *RefusedError) response(fatal bool) *pgproto3.ErrorResponse {
	s := "ERROR"
	if fatal {
		s = "FATAL"
	}
	return &pgproto3.ErrorResponse{Severity: s, SeverityUnlocalized: s, Code: e.Code, Message: e.Message, Hint: e.Hint}
}

// RouteError reports that a request was not sent to any owner and so was not
// run.
type RouteError struct {
	Reason     string
	RetryAfter time.Duration
	// Member is the overloaded member; empty for any other reason.
	Member string
}

func (e *RouteError) Error() string { return "no route: " + e.Reason }

// refusal returns the error for a caller whose request ended with a verdict.
func refusal(v peer.Verdict) *RefusedError {
	if v.Outcome == peer.InDoubt {
		return &RefusedError{
			Code: codeInDoubt, Message: "outcome in doubt: the statement may or may not have been run (" + v.Reason + ")",
			Hint: "Repeat it with the same idempotency key, or look before you repeat it.",
		}
	}
	c := codeCannotConnectNow
	if v.Reason == reasonOverloaded || v.Reason == reasonExpired || v.Reason == reasonRegionLink || v.Reason == reasonInFlight || v.Reason == "no-connection" {
		c = codeTooManyConnections
	}
	return &RefusedError{Code: c, Message: "not run: " + v.Reason, Hint: retryHint(v.RetryAfter)}
}

// retryHint returns a machine-readable hint with the retry-after interval.
func retryHint(d time.Duration) string {
	return "retry-after-ms=" + strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
