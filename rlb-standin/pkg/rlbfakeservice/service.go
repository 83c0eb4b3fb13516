// Package rlbfakeservice is a stand-in for a plain service, such as a stock list
// or a reservation system. It records each run and injects faults.
package rlbfakeservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbrecord"
)

// Service is a stand-in for a plain service.
type Service struct {
	id     string
	record *rlbrecord.Writer
	faults *rlbfault.Injector
	mu     sync.Mutex
	runs   []Run
}

// Run is one run of a request.
type Run struct {
	Number    int    `json:"run"`
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
}

// New returns a service without recorded runs.
func New(id string, record *rlbrecord.Writer) *Service {
	return &Service{id: id, record: record, faults: &rlbfault.Injector{}}
}

// Faults returns the fault injector.
func (s *Service) Faults() *rlbfault.Injector { return s.faults }

// ShareFaults replaces the fault injector by one that other stand-ins share. Call
// it before the service serves requests.
func (s *Service) ShareFaults(faults *rlbfault.Injector) { s.faults = faults }

// Handler returns the HTTP handler: every path runs a request, except /record and
// /fault, which are for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", s.showRecord)
	mux.Handle("/fault", s.faults)
	mux.HandleFunc("/", s.serve)
	return mux
}

// Runs returns the runs so far.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Service) showRecord(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected while sending the body
	}
	fault := s.faults.Next()
	if fault == rlbfault.Refuse {
		w.Header().Set(rlbrelay.HeaderNotRun, "true")
		http.Error(w, "the service is full", http.StatusServiceUnavailable)
		return
	}
	run := s.recordRun(r, body)
	id := run.RequestID
	switch fault {
	case rlbfault.Fail:
		http.Error(w, "the service failed while running the request", http.StatusInternalServerError)
		return
	case rlbfault.CutBefore:
		panic(http.ErrAbortHandler)
	case rlbfault.Late:
		time.Sleep(s.faults.Delay())
	case rlbfault.Silent:
		<-r.Context().Done()
		return
	case rlbfault.Misdelivered:
		id = "another-request"
	}
	answer, err := json.Marshal(run)
	if err != nil {
		panic(fmt.Errorf("encode run: %w", err))
	}
	w.Header().Set(rlbrelay.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	length := len(answer)
	if fault == rlbfault.CutMid || fault == rlbfault.WrongSize {
		length++
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(answer) // fails only if the caller disconnected
}

func (s *Service) recordRun(r *http.Request, body []byte) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		Number: len(s.runs) + 1, Endpoint: s.id, RequestID: r.Header.Get(rlbrelay.HeaderRequestID),
		Key: r.Header.Get(rlbrelay.HeaderIdempotencyKey), Method: r.Method, Path: r.URL.Path, Body: string(body),
	}
	s.record.Write(rlbrecord.Run{Endpoint: s.id, RequestID: run.RequestID, Key: run.Key})
	s.runs = append(s.runs, run)
	return run
}
