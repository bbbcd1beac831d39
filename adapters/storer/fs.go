package storer

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file.
type File interface {
	io.Reader
	io.ReaderAt
	io.WriterAt
	Sync() error
	Close() error
}

// FS is the file system of a store; tests replace it to inject failures of writes and syncs.
type FS interface {
	OpenFile(name string, flag int) (File, error)
	ReadFile(name string) ([]byte, error)
	ReadDir(name string) ([]string, error)
	MkdirAll(name string) error
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(name string) error
}

// DiskFS is the file system of the operating system.
type DiskFS struct{}

// OpenFile opens a file; a new one is accessible only to its owner.
func (DiskFS) OpenFile(name string, flag int) (File, error) { return os.OpenFile(name, flag, 0o600) }

// ReadFile returns the content of a file.
func (DiskFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir returns the file names of a folder in ascending order.
func (DiskFS) ReadDir(name string) (names []string, err error) {
	list, err := os.ReadDir(name)
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

// MkdirAll creates a folder and its parents, accessible only to their owner.
func (DiskFS) MkdirAll(name string) error { return os.MkdirAll(name, 0o700) }

// Rename moves a file and replaces an existing target.
func (DiskFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (DiskFS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes created, renamed and removed names of a folder durable.
func (DiskFS) SyncDir(name string) (err error) {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	return d.Sync()
}

// lockFolder locks the folder against other processes; the kernel releases the lock when the process ends.
func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", folder, err)
	}
	return f, nil
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, then renames it.
func replaceFile(fs FS, name string, data []byte) (err error) {
	tmp := name + tmpSuffix
	f, err := fs.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(tmp, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}
