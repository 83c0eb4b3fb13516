package rlbrelay

import (
	"encoding/json"
	"net/http"
)

// CheckIdentity reports whether an answer's header says that it belongs to
// another request. A missing header says nothing.
func CheckIdentity(header http.Header, request string) bool {
	got := header.Get(HeaderRequestID)
	return got == "" || got == request
}

// CheckDocument reports whether body is a whole JSON document of the request.
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
