package wal

import "fmt"

// DamagedError says that stored data that had been synced cannot be read back.
// The member must not go on from it; see SetAside.
type DamagedError struct {
	File   string
	Offset int64 // of the first record that cannot be read
	Detail string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// IOError is a failed operation on a file: a failed sync, a full or a read-only
// disk. Nothing of the call that returned it may be acknowledged.
type IOError struct {
	Op    string
	File  string
	Cause error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap returns the operating system's error.
func (e *IOError) Unwrap() error { return e.Cause }

// LockedError says that another process uses the folder.
type LockedError struct{ File string }

func (e *LockedError) Error() string { return e.File + " is locked by another process" }

// OwnerError says that a folder belongs to another member.
type OwnerError struct {
	Folder string
	Owner  string
	Want   string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("folder %s belongs to %q, not to %q", e.Folder, e.Owner, e.Want)
}

// wrap adds the operation and the file to an error, unless it is typed already.
func wrap(op, file string, err error) error {
	switch err.(type) {
	case nil:
		return nil
	case *IOError, *DamagedError, *LockedError:
		return err
	}
	return &IOError{Op: op, File: file, Cause: err}
}
