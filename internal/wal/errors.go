package wal

import "fmt"

// DamagedError reports that data that had been synced cannot be read back. The
// member must not continue with the log; see SetAside.
type DamagedError struct {
	File   string
	Offset int64 // of the first unreadable record, in bytes
	Detail string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// IOError reports a failed operation on a file, for instance a failed sync or a
// full or read-only disk. Nothing that was passed to the call that returned it may
// be acknowledged.
type IOError struct {
	Op    string
	File  string
	Cause error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap returns the operating system's error.
func (e *IOError) Unwrap() error { return e.Cause }

// LockedError reports that another process uses the folder.
type LockedError struct{ File string }

func (e *LockedError) Error() string { return e.File + " is locked by another process" }

// OwnerError reports that a folder belongs to another member.
type OwnerError struct {
	Folder string
	Owner  string
	Want   string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("folder %s belongs to %q, not to %q", e.Folder, e.Owner, e.Want)
}

// wrap returns err as an *IOError with the operation and the file, unless it is
// nil or already has one of this package's types.
func wrap(op, file string, err error) error {
	switch err.(type) {
	case nil:
		return nil
	case *IOError, *DamagedError, *LockedError:
		return err
	}
	return &IOError{Op: op, File: file, Cause: err}
}
