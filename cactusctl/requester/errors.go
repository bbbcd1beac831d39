package requester

import (
	"fmt"
	"net/http"
	"strings"

	"cactusroute.dev/core/applier"
)

// APIError is a refusal by control.
type APIError struct {
	Status  int      `json:"-"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Details []string `json:"details,omitempty"`
	// Bundle is the winner of a conflict over a version.
	Bundle *applier.BundleRecord `json:"bundle,omitempty"`
}

// Error gives the message, the details and the winner of a conflict.
func (e *APIError) Error() string {
	text := e.Code + ": " + e.Message
	for _, d := range e.Details {
		if d != e.Message {
			text += "\n  " + d
		}
	}
	if b := e.Bundle; b != nil && !strings.Contains(text, b.Digest) {
		text += fmt.Sprintf("\n  stored is version %d with digest %s of %s", b.Version, b.Digest, b.Author)
	}
	return text
}

// IsConflict reports whether another change won.
func (e *APIError) IsConflict() bool { return e.Status == http.StatusConflict }

// UnreachableError says that no control instance gave an answer that counts.
type UnreachableError struct {
	// Causes has the last fault of each address.
	Causes []string
	// MayBeDone is set when a write was sent, so that it may have been done or may be done later.
	OutcomeUnknown bool
}

// Error names the fault of each address.
func (e *UnreachableError) Error() string {
	text := "no answer from control: " + strings.Join(e.Causes, "; ")
	if e.OutcomeUnknown {
		text += "; the change may or may not have been made; the same command may be given again"
	}
	return text
}
