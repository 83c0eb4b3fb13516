// Package rlbrecord writes down each run of a stand-in before it begins, in a
// file that outlives the stand-in's process.
package rlbrecord

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Run is one run.
type Run struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
}

// Writer appends runs to a file. A nil Writer writes nothing.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Open returns a writer that appends to the file at path, and its clean-up
// function; an empty path gives a nil Writer.
func Open(path string) (*Writer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("open record: %w", err)
	}
	return &Writer{file: file}, func() { _ = file.Close() }, nil
}

// Write appends a run. It panics if it cannot: a run must not go unrecorded.
func (w *Writer) Write(run Run) {
	if w == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(fmt.Errorf("a run always encodes: %w", err))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Errorf("write record: %w", err))
	}
}
