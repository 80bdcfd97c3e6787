package bundle

import (
	"strconv"
	"strings"
)

// FormatError reports a malformed bundle.
type FormatError struct {
	// File is the file's name; empty if there is none.
	File string
	// Line and Column count from 1; they are 0 if they aren't known.
	Line   int
	Column int
	// Reason describes the fault.
	Reason string
}

func (e *FormatError) Error() string {
	if p := (Fault{File: e.File, Line: e.Line, Column: e.Column}).location(); p != "" {
		return "bundle is malformed: " + p + e.Reason
	}
	return "bundle is malformed: " + e.Reason
}

// SignatureError reports a bundle without the required signatures.
type SignatureError struct {
	Reason string
}

func (e *SignatureError) Error() string { return "bundle is not accepted: " + e.Reason }

// KeyError reports a malformed key or SCRAM verifier.
type KeyError struct {
	Reason string
}

func (e *KeyError) Error() string { return "key is malformed: " + e.Reason }

// Fault is one error in a bundle's content.
type Fault struct {
	// File is the file's name; empty if there is none.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; they are 0 if the bundle has no text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the location in the bundle, such as "groups[0].members[1].slots".
	Path string `json:"path,omitempty"`
	// Reason describes the error.
	Reason string `json:"reason"`
}

// String formats the fault as "file:line:column: path: reason".
func (f Fault) String() string {
	if f.Path == "" {
		return f.location() + f.Reason
	}
	return f.location() + ": " + f.Reason
}

// ContentError reports all faults of a bundle's content.
type ContentError struct {
	// Faults is never empty.
	Faults []Fault
}

func (e *ContentError) Error() string {
	var s strings.Builder
	s.WriteString("bundle has faults:")
	for _, f := range e.Faults {
		s.WriteString("\n  " + f.location() + ": " + f.Reason)
	}
	return s.String()
}

// ConflictError reports two different bundles with the same version.
type ConflictError struct {
	Version uint64
}

func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " is taken by another bundle"
}
