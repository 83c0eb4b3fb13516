// Package rlbrecord records each run of a stand-in in a file before the run
// begins, so that the record survives a crash of the stand-in.
package rlbrecord

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Run is one run of a request.
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

// Open returns a Writer that appends to the file at path, and a function that
// closes it. For an empty path the Writer is nil.
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

// Write appends a run. It panics on failure, since tests rely on a complete record.
func (w *Writer) Write(run Run) {
	if w == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(fmt.Errorf("encode run: %w", err))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Errorf("write record: %w", err))
	}
}
