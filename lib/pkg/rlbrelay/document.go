package rlbrelay

import (
	"encoding/json"
	"net/http"
)

// CheckIdentity reports whether an answer may belong to the request: the request ID
// in its header is missing or matches.
func CheckIdentity(header http.Header, request string) bool {
	got := header.Get(HeaderRequestID)
	return got == "" || got == request
}

// CheckDocument returns End if body is a complete JSON document of the request, else
// Malformed or Foreign.
func CheckDocument(body []byte, request string) Verdict {
	var document struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return Malformed
	}
	if document.ID != request {
		return Foreign
	}
	return End
}
