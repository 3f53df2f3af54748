package config

import (
	"fmt"
	"strings"
)

// Kind classifies an error in a configuration.
type Kind string

// The kinds of errors.
const (
	KindUnreadable   Kind = "unreadable"
	KindNoFiles      Kind = "no_files"
	KindSyntax       Kind = "syntax"
	KindWrongType    Kind = "wrong_type"
	KindUnknownKey   Kind = "unknown_key"
	KindDuplicateKey Kind = "duplicate_key"
	KindMissing      Kind = "missing"
	KindOutOfRange   Kind = "out_of_range"
	KindDuplicate    Kind = "duplicate"
	KindNoRacks      Kind = "no_racks"
	KindDoesNotFit   Kind = "does_not_fit"
)

// FileError is one error in a configuration file. Line and Column start at 1; Column
// counts characters. Both are 0 if the error has no position in the file.
type FileError struct {
	Kind   Kind   `json:"kind"`
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Path   string `json:"path,omitempty"`
	Value  string `json:"value,omitempty"`
	Detail string `json:"detail"`
	Fix    string `json:"fix"`
}

func (e *FileError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	b.WriteString(": ")
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(e.Detail)
	if e.Value != "" {
		fmt.Fprintf(&b, ", found %s", e.Value)
	}
	if e.Fix != "" {
		b.WriteString("; fix: " + e.Fix)
	}
	return b.String()
}

// Errors lists all errors of one run, sorted by file and line.
type Errors []*FileError

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Issue is one error in a list of services, which may not come from files. Path is
// relative to the service with index Service.
type Issue struct {
	Kind    Kind
	Service int
	Path    string
	Value   string
	Detail  string
	Fix     string
	// First is the place of the first use of a duplicate name, for KindDuplicate.
	First *Place
}

// Place is a path in the service with the given index.
type Place struct {
	Service int
	Path    string
}

// FitError reports that the guarantees of a zone exceed its racks' accelerators.
type FitError struct {
	AvailabilityZone string
	Guaranteed       int // accelerators
	Installed        int // accelerators
}

func (e *FitError) Error() string {
	return fmt.Sprintf("availability zone %q: guarantees of %d accelerators do not fit racks with %d",
		e.AvailabilityZone, e.Guaranteed, e.Installed)
}

// DuplicateServiceError reports a service that is listed twice in a publish.
type DuplicateServiceError struct{ Service string }

func (e *DuplicateServiceError) Error() string {
	return fmt.Sprintf("service %q is listed twice", e.Service)
}
