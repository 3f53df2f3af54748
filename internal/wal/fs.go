package wal

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// FS is the set of file system operations that the log needs. Names are full
// paths.
type FS interface {
	MkdirAll(folder string) error
	// List returns the sorted names of the entries of a folder; none if the folder
	// does not exist.
	List(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for writing and truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock that is released when the closer is closed or
	// the process ends. It returns *LockedError if another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.Writer
	Sync() error
	io.Closer
}

// OS is the operating system's file system.
type OS struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MkdirAll implements FS.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	all, err := os.ReadDir(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var out []string
	for _, e := range all {
		out = append(out, e.Name())
	}
	return out, err
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err // a nil *os.File in the interface would not compare equal to nil
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncFolder implements FS.
func (OS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &LockedError{File: name}
	}
	return nil, err
}
