package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it; "" if there is none.
func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds())
}
