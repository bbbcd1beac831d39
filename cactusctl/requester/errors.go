package requester

import (
	"fmt"
	"net/http"
	"strings"

	"cactusroute.dev/core/applier"
)

// APIError is an error response of a control instance.
type APIError struct {
	Status  int      `json:"-"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Details []string `json:"details,omitempty"`
	// Bundle is the stored record that a draft of the same version conflicts with.
	Bundle *applier.BundleRecord `json:"bundle,omitempty"`
}

// Error returns the message, the details and the stored bundle record of a conflict.
func (e *APIError) Error() string {
	text := e.Code + ": " + e.Message
	for _, d := range e.Details {
		if d != e.Message {
			text += "\n  " + d
		}
	}
	if b := e.Bundle; b != nil && !strings.Contains(text, b.Digest) {
		text += fmt.Sprintf("\n  version %d is stored with digest %s by author %s", b.Version, b.Digest, b.Author)
	}
	return text
}

// IsConflict reports whether the request conflicts with another change.
func (e *APIError) IsConflict() bool { return e.Status == http.StatusConflict }

// UnreachableError says that no control instance returned a usable response.
type UnreachableError struct {
	// Causes lists the last error of each address.
	Causes []string
	// OutcomeUnknown is set if a write was sent, which may have been applied or may be applied later.
	OutcomeUnknown bool
}

// Error lists the error of each address.
func (e *UnreachableError) Error() string {
	text := "no usable response from a control instance: " + strings.Join(e.Causes, "; ")
	if e.OutcomeUnknown {
		text += "; the change may or may not have been applied; it is safe to run the command again"
	}
	return text
}
