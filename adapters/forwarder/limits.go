package forwarder

import (
	"cmp"
	"fmt"
)

// The names of the bounds, as they appear in errors and metrics.
const (
	BoundHeadBytes              = "headBytes"
	BoundHeaderFields           = "headerFields"
	BoundInformationalResponses = "informationalResponses"
	BoundSkippedResponses       = "skippedResponses"
	BoundSkippedBodyBytes       = "skippedBodyBytes"
	BoundBodyBytes              = "bodyBytes"
	BoundChunkLineBytes         = "chunkLineBytes"
	BoundTrailerBytes           = "trailerBytes"
)

// Bounds returns the names of all bounds.
func Bounds() []string {
	return []string{BoundHeadBytes, BoundHeaderFields, BoundInformationalResponses, BoundSkippedResponses,
		BoundSkippedBodyBytes, BoundBodyBytes, BoundChunkLineBytes, BoundTrailerBytes}
}

// Limits bound what an endpoint may send in one exchange. A response beyond a bound ends the exchange and closes its
// connection.
type Limits struct {
	// HeadBytes bounds the status line and header of a response together with the informational responses before it.
	HeadBytes int64 `json:"headBytes,omitempty"`
	// HeaderFields bounds the header lines of one response.
	HeaderFields int64 `json:"headerFields,omitempty"`
	// InformationalResponses bounds the 1xx responses before the final one.
	InformationalResponses int64 `json:"informationalResponses,omitempty"`
	// SkippedResponses bounds the responses to other requests that are skipped before the right one.
	SkippedResponses int64 `json:"skippedResponses,omitempty"`
	// SkippedBodyBytes bounds the body of one skipped response.
	SkippedBodyBytes int64 `json:"skippedBodyBytes,omitempty"`
	// BodyBytes bounds a response body with its chunk framing.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// ChunkLineBytes bounds a chunk size with its extensions.
	ChunkLineBytes int64 `json:"chunkLineBytes,omitempty"`
	// TrailerBytes bounds the trailer after the last chunk.
	TrailerBytes int64 `json:"trailerBytes,omitempty"`
}

// DefaultLimits returns the limits that apply where the settings have none.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes: 32 << 10, HeaderFields: 256, InformationalResponses: 8, SkippedResponses: 2, SkippedBodyBytes: 1 << 20,
		BodyBytes: 64 << 20, ChunkLineBytes: 1 << 10, TrailerBytes: 2 << 10,
	}
}

// WithDefaults returns the limits with defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	return Limits{
		HeadBytes: cmp.Or(l.HeadBytes, d.HeadBytes), HeaderFields: cmp.Or(l.HeaderFields, d.HeaderFields),
		InformationalResponses: cmp.Or(l.InformationalResponses, d.InformationalResponses),
		SkippedResponses:       cmp.Or(l.SkippedResponses, d.SkippedResponses),
		SkippedBodyBytes:       cmp.Or(l.SkippedBodyBytes, d.SkippedBodyBytes),
		BodyBytes:              cmp.Or(l.BodyBytes, d.BodyBytes), ChunkLineBytes: cmp.Or(l.ChunkLineBytes, d.ChunkLineBytes),
		TrailerBytes: cmp.Or(l.TrailerBytes, d.TrailerBytes),
	}
}

// LimitError means that a peer sent more than a bound allows.
type LimitError struct {
	Bound string
	Limit int64
	Seen  int64 // up to the point where the exchange ended
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("response exceeds the bound %s of %d: %d seen", e.Bound, e.Limit, e.Seen)
}

// checkLimit returns a *LimitError if seen exceeds the limit.
func checkLimit(bound string, limit, seen int64) error {
	if seen <= limit {
		return nil
	}
	return &LimitError{Bound: bound, Limit: limit, Seen: seen}
}
