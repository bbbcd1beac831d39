package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Comparison is the relation to its bound that a value must satisfy.
type Comparison string

const (
	// AtMost means that the value must not exceed the bound.
	AtMost Comparison = "at most"
	// AtLeast means that the value must not be below the bound.
	AtLeast Comparison = "at least"
	// Unbounded means that the value has no bound.
	Unbounded Comparison = ""
)

// Value is one measurement with its bound.
type Value struct {
	Name       string
	Value      float64
	Unit       string
	Bound      float64
	Comparison Comparison
}

// IsWithinBound reports whether the value satisfies its bound.
func (v *Value) IsWithinBound() bool {
	switch v.Comparison {
	case AtMost:
		return v.Value <= v.Bound
	case AtLeast:
		return v.Value >= v.Bound
	default:
		return true
	}
}

type line struct {
	Name  string   `json:"name"`
	Value float64  `json:"value"`
	Unit  string   `json:"unit"`
	Bound *float64 `json:"bound"`
	OK    bool     `json:"ok"`
}

// Reporter writes each value when it is reported and keeps all of them for the summary.
type Reporter struct {
	out io.Writer

	mu     sync.Mutex
	values []Value
}

// New returns a reporter that writes JSON lines to out.
func New(out io.Writer) *Reporter { return &Reporter{out: out} }

// Report records a value and writes it as a JSON line.
func (r *Reporter) Report(v Value) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = append(r.values, v)
	l := line{Name: v.Name, Value: v.Value, Unit: v.Unit, OK: v.IsWithinBound()}
	if v.Comparison != Unbounded {
		l.Bound = &v.Bound
	}
	return json.NewEncoder(r.out).Encode(l)
}

// Violations returns the values that violate their bound.
func (r *Reporter) Violations() (list []Value) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.values {
		if !v.IsWithinBound() {
			list = append(list, v)
		}
	}
	return list
}

// WriteSummary writes all values as a human-readable table.
func (r *Reporter) WriteSummary(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.values {
		status, bound := "ok  ", ""
		if !v.IsWithinBound() {
			status = "FAIL"
		}
		if v.Comparison != Unbounded {
			bound = fmt.Sprintf("%s %g", v.Comparison, v.Bound)
		}
		_, _ = fmt.Fprintf(w, "%s %-55s %12.4g %-10s %s\n", status, v.Name, v.Value, v.Unit, bound)
	}
}
