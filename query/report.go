package query

import (
	"encoding/json"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// MemberReport is what the owner of a member knows about it. Times are in
// milliseconds. It is encoded as an array, since many answers carry some.
type MemberReport struct {
	Member string
	// Position is the end of the member's log.
	Position logpos.Position
	// LagMS is the estimated delay in applying commits, WaitMS the predicted wait for
	// a slot and SlotMS the mean time that a statement takes.
	LagMS  int64
	WaitMS int64
	SlotMS int64
	// BusyPercent is the mean share of the member's slots in use.
	BusyPercent int64
	// FailuresPercent is the share of recent statements that failed.
	FailuresPercent int64
	// AgeMS is the time since the report was made.
	AgeMS int64
}

// MarshalJSON encodes the report as an array.
func (m MemberReport) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{m.Member, m.Position.Term, m.Position.Offset, m.LagMS, m.WaitMS, m.SlotMS, m.BusyPercent, m.FailuresPercent, m.AgeMS})
}

// UnmarshalJSON decodes the report.
func (m *MemberReport) UnmarshalJSON(b []byte) error {
	l := []any{&m.Member, &m.Position.Term, &m.Position.Offset, &m.LagMS, &m.WaitMS, &m.SlotMS, &m.BusyPercent, &m.FailuresPercent, &m.AgeMS}
	return json.Unmarshal(b, &l)
}
