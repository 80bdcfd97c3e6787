package bundle

import (
	"strconv"
	"strings"
)

// FormatError reports a bundle that can't be read.
type FormatError struct {
	// Reason names the place and the fault.
	Reason string
}

func (e *FormatError) Error() string { return "bundle is malformed: " + e.Reason }

// SignatureError reports a bundle that is not signed as it must be.
type SignatureError struct {
	Reason string
}

func (e *SignatureError) Error() string { return "bundle is not accepted: " + e.Reason }

// KeyError reports a key that can't be read.
type KeyError struct {
	Reason string
}

func (e *KeyError) Error() string { return "key is malformed: " + e.Reason }

// Fault is one thing wrong with a bundle's content.
type Fault struct {
	// Path is the place in the bundle, such as "groups[0].members[1].slots".
	Path string
	// Reason tells what is wrong there.
	Reason string
}

// ContentError reports every fault of a bundle's content at once.
type ContentError struct {
	// Faults is never empty.
	Faults []Fault
}

func (e *ContentError) Error() string {
	var s strings.Builder
	s.WriteString("bundle has faults:")
	for _, f := range e.Faults {
		s.WriteString("\n  " + f.Path + ": " + f.Reason)
	}
	return s.String()
}

// ConflictError reports a second bundle of a version that is taken.
type ConflictError struct {
	Version uint64
}

func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Version, 10) + " is taken by another bundle"
}
