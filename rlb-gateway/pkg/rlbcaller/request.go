package rlbcaller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// HeaderTimeout is the request header with the caller's timeout, such as 2.5s.
const HeaderTimeout = "X-Request-Timeout"

// maxKeyBytes is the longest idempotency key.
const maxKeyBytes = 255

// prefixBytes is how much of a prompt is hashed to identify its cached prefix.
const prefixBytes = 1024

// completionBody has the fields of a completion request that the gateway uses.
type completionBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func parseCompletion(body []byte) (completionBody, *Refusal) {
	var in completionBody
	if err := json.Unmarshal(body, &in); err != nil {
		return in, newRefusal(rlbroute.NotRun, CodeInvalidRequest, "the body is not JSON: "+err.Error())
	}
	if in.Model == "" {
		return in, newRefusal(rlbroute.NotRun, CodeInvalidRequest, `"model" is missing`)
	}
	return in, nil
}

// prefix returns a hash of the first prefixBytes of the prompt, or 0 without a
// prompt.
func (in completionBody) prefix() uint64 {
	prompt := in.Messages
	if len(prompt) == 0 {
		prompt = in.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// maxSharedParts is the number of messages, from the first, that count as shared parts.
const maxSharedParts = 16

// sharedParts returns hashes of the parts of the prompt that other requests may share:
// all messages but the last, up to maxSharedParts.
func (in completionBody) sharedParts() []uint64 {
	var messages []json.RawMessage
	if err := json.Unmarshal(in.Messages, &messages); err != nil || len(messages) < 2 {
		return nil // the prompt is one part, which belongs to the request
	}
	var parts []uint64
	for _, message := range messages[:min(len(messages)-1, maxSharedParts)] {
		parts = append(parts, xxhash.Sum64(message))
	}
	return parts
}

// requestFingerprint returns a hash of a request's content: its target, which is a model or
// a method with a path, and its body. It is the same for a resend by any caller.
func requestFingerprint(target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(target) // writing to a hash never fails
	_, _ = d.Write(body)
	return d.Sum64()
}

func (s *Server) readDeadline(c *call) *Refusal {
	timeout := s.limits.deadline
	if text := c.r.Header.Get(HeaderTimeout); text != "" {
		stated, err := time.ParseDuration(text)
		if err != nil || stated <= 0 {
			return newRefusal(rlbroute.NotRun, CodeInvalidRequest, HeaderTimeout+" is not a duration such as 2.5s")
		}
		timeout = min(stated, s.limits.maxDeadline)
	}
	c.deadline = c.arrived.Add(timeout)
	return nil
}

func (s *Server) readBody(c *call) *Refusal {
	limit := rlbunit.Bytes(s.limits.maxBody)
	if c.r.ContentLength > s.limits.maxBody {
		return newRefusal(rlbroute.NotRun, CodeBodyTooLarge, limit)
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline) // not supported by every ResponseWriter
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, s.limits.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(rlbroute.NotRun, CodeBodyTooLarge, limit)
	}
	if errors.Is(err, rlbintake.ErrNoRoom) {
		return newRefusal(rlbroute.NotRun, CodeNoMemory)
	}
	if err != nil {
		return newRefusal(rlbroute.NotRun, CodeInvalidRequest, "the body broke off")
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	c.body = body
	c.key = c.r.Header.Get(rlbrelay.HeaderIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return newRefusal(rlbroute.NotRun, CodeInvalidRequest, "the idempotency key is longer than 255 bytes")
	}
	return nil
}

// remaining returns the value of HeaderTimeout for the request to the endpoint.
func remaining(deadline, now time.Time) string {
	return deadline.Sub(now).Round(time.Millisecond).String()
}
