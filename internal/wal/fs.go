package wal

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// FS is the file system as the log uses it. Names are full paths.
type FS interface {
	MkdirAll(folder string) error
	// List returns the names in a folder, sorted; none if it does not exist.
	List(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, replacing any of the same name.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock that ends with the process. It returns
	// *LockedError if another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written once, front to back.
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
		return nil, err // not a typed nil in the interface
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
