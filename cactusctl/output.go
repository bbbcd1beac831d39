package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table holds the rows of a table; the first one is the header.
type table struct{ rows [][]string }

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// printResponse prints a response as indented JSON, or as the tables that are built from it.
func printResponse[T any](a *app, c *invocation, raw json.RawMessage, tables func(v *T) []*table) error {
	if c.String("output") == outputJSON {
		return a.printJSON(raw)
	}
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("decode response of control: %w", err)
	}
	for i, t := range tables(&v) {
		if i > 0 {
			_, _ = fmt.Fprintln(a.stdout)
		}
		if err := a.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) printJSON(raw json.RawMessage) error {
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(a.stdout, strings.TrimSpace(buf.String()))
	return err
}

func (a *app) printTable(t *table) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// printResult prints v as JSON, or the formatted line with --output table.
func (a *app) printResult(c *invocation, v any, format string, args ...any) error {
	if c.String("output") == outputJSON {
		raw, err := json.Marshal(v)
		if err != nil {
			return err
		}
		return a.printJSON(raw)
	}
	_, err := fmt.Fprintf(a.stdout, format+"\n", args...)
	return err
}

// printProgress prints a line to standard error, because standard output contains only the result.
func (a *app) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stderr, format+"\n", args...)
}

func formatTime(millis int64) string {
	if millis == 0 {
		return ""
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

func shortenDigest(digest string) string { return digest[:min(12, len(digest))] }
