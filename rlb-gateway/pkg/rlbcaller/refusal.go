package rlbcaller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// HeaderOutcome is the response header with the outcome of the request.
const HeaderOutcome = "X-Rlb-Outcome"

// Code is the machine-readable cause of a refusal.
type Code string

// Codes of refusals.
const (
	CodeInvalidRequest    Code = "invalid_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeUnknownModel      Code = "unknown_model"
	CodeUnknownPath       Code = "unknown_path"
	CodeNoEndpoint        Code = "no_endpoint"
	CodeOverloaded        Code = "overloaded"
	CodeNoMemory          Code = "no_memory"
	CodeDraining          Code = "draining"
	CodeDeadline          Code = "deadline_exceeded"
	CodeEndpointFailed    Code = "endpoint_failed"
	CodeAnswerIncomplete  Code = "answer_incomplete"
	CodeCrashesEndpoints  Code = "crashes_endpoints"
	CodeCrashingPart      Code = "crashing_part"
	CodeAnswerTooLarge    Code = "answer_too_large"
	CodeClaimsUnavailable Code = "claims_unavailable"
	CodeInProgress        Code = "in_progress"
	CodeKeyReused         Code = "key_reused"
	CodeKeyExpired        Code = "key_expired"
	CodeAnswerNotStored   Code = "answer_not_kept"
)

// messages state the cause of a refusal and what the caller can do about it.
var messages = map[Code]string{
	CodeInvalidRequest:    "Correct the request: %s.",
	CodeBodyTooLarge:      "Send a body of at most %s.",
	CodeUnknownModel:      "Model or adapter %s is not in force; GET /v1/models lists what is.",
	CodeUnknownPath:       "No plain service has a prefix of this path.",
	CodeNoEndpoint:        "No endpoint can take the request now; send it again later.",
	CodeOverloaded:        "All endpoints are busy; send it again later.",
	CodeNoMemory:          "The requests in progress take too much memory; send it again later.",
	CodeDraining:          "This gateway is shutting down; send it again to another.",
	CodeDeadline:          "The deadline passed; send it again with a later one.",
	CodeEndpointFailed:    "The request ran and failed; look at the endpoint's message before sending it again.",
	CodeAnswerIncomplete:  "The answer broke off; it may have run. If it must not run twice, check its effect before sending it again.",
	CodeCrashesEndpoints:  "Each endpoint that ran this request crashed; do not send it again.",
	CodeCrashingPart:      "Requests that share a message with this one crash endpoints; send it again later or without that message.",
	CodeAnswerTooLarge:    "The answer is longer than the gateway allows; ask for a shorter one.",
	CodeClaimsUnavailable: "The claim on the idempotency key could not be recorded; send it again later with the same key.",
	CodeInProgress:        "A request with this idempotency key is running or was cut off; its outcome is not known here.",
	CodeKeyReused:         "This idempotency key belongs to a different request; choose a new key.",
	CodeKeyExpired:        "The idempotency key is past its deadline; check the effect and choose a new key.",
	CodeAnswerNotStored:   "The request ran and was answered before; the answer was too long to keep.",
}

// Refusal is an error answer that the gateway itself produces.
type Refusal struct {
	Outcome    rlbroute.Outcome `json:"outcome"`
	Code       Code             `json:"code"`
	Message    string           `json:"message"`
	RequestID  string           `json:"request_id"`
	status     int
	retryAfter time.Duration // for the Retry-After header; 0: none, as the caller must not simply send the request again
}

// errorDocument is the JSON body of every refusal.
type errorDocument struct {
	Error Refusal `json:"error"`
}

func newRefusal(outcome rlbroute.Outcome, code Code, args ...any) *Refusal {
	r := &Refusal{Outcome: outcome, Code: code, Message: fmt.Sprintf(messages[code], args...)}
	r.status = statusOf(outcome, code)
	if outcome == rlbroute.NotRun && r.status == http.StatusServiceUnavailable {
		r.retryAfter = time.Second
	}
	if code == CodeInProgress {
		r.retryAfter = time.Second
	}
	return r
}

// withRetryAfter sets when a request that has not run may be sent again.
func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	if r.Outcome == rlbroute.NotRun {
		r.retryAfter = max(d, time.Second)
	}
	return r
}

// statusOf returns the HTTP status of a refusal. It follows from the outcome, except
// for codes that have a status of their own.
func statusOf(outcome rlbroute.Outcome, code Code) int {
	switch code {
	case CodeInvalidRequest:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnknownModel, CodeUnknownPath:
		return http.StatusNotFound
	case CodeInProgress, CodeKeyReused, CodeKeyExpired, CodeAnswerNotStored:
		return http.StatusConflict
	}
	switch outcome {
	case rlbroute.NotRun:
		return http.StatusServiceUnavailable
	case rlbroute.Failed:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}

// write sends the refusal as the answer. It must be called before any part of an
// answer is written.
func (r *Refusal) write(w http.ResponseWriter, id string) {
	r.RequestID = id
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(rlbrelay.HeaderRequestID, id)
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(r.retryAfter.Seconds())))
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(errorDocument{*r}) // fails only if the caller disconnected
}

// writeEvent ends a stream that has already started with an error event.
func (r *Refusal) writeEvent(w http.ResponseWriter, id string) {
	r.RequestID = id
	document, err := json.Marshal(errorDocument{*r})
	if err != nil {
		panic(fmt.Errorf("encode refusal: %w", err))
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", document)
	_ = http.NewResponseController(w).Flush()
}
