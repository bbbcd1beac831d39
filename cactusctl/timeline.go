package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/adapters/logreader"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/cactusctl/requester"
	"cactusroute.dev/core/timestamper"
)

const (
	// processReadTimeout bounds the read of one process, so that an unresponsive one delays the others little.
	processReadTimeout = 2 * time.Second
	// maxParallelReads bounds the number of open connections to a fleet of up to 1,300 processes.
	maxParallelReads = 64
	maxPageBytes     = 16 << 20
	// processListRounds is the number of rounds between two reads of the process list.
	processListRounds = 10
)

func (a *app) timelineCommand() *cli.Command {
	run := func(ctx context.Context, c *invocation) error {
		if len(c.StringSlice("log")) > 0 {
			return a.logTimeline(c)
		}
		return a.withClient(a.fleetTimeline)(ctx, c)
	}
	return a.localCommand("timeline", "show the events of all processes in causal order", "", run,
		&cli.StringSliceFlag{
			Name: "log", TakesFile: true,
			Usage: "read log lines of processes from `FILE` instead of the fleet; may be repeated, - is standard input",
		},
		&cli.StringFlag{Name: "request", Usage: "show only events of the request `ID`"},
		&cli.StringFlag{Name: "endpoint", Usage: "show only events of the endpoint `NAME`"},
		&cli.StringFlag{Name: "failure-domain", Usage: "show only events of the failure domain `NAME`"},
		&cli.Uint64Flag{Name: "version", Usage: "show only events of the bundle `VERSION`"},
		&cli.BoolFlag{Name: "follow", Usage: "print new events until interrupted"})
}

// source is a process whose timeline is read.
type source struct {
	name, address, cursor string
	// isListed is set if the name comes from the process list. It then replaces the process name in events, because
	// several processes may record events under the same name.
	isListed bool
	// readError describes the failure of the last read; it is empty after a successful one.
	readError string
}

// timelineMerger merges the timelines of all processes.
type timelineMerger struct {
	httpClient *http.Client
	invocation *invocation
	query      url.Values
	sources    map[string]*source // by address
	pending    []recorder.Event
	// previousHighest is the highest stamp of all rounds but the last one, and highest of all rounds.
	previousHighest, highest timestamper.Timestamp
	dropped                  []string
}

func (a *app) fleetTimeline(ctx context.Context, c *invocation) error {
	t := &timelineMerger{
		httpClient: requester.NewHTTPClient(c.settings.tls), invocation: c, query: url.Values{},
		sources: map[string]*source{},
	}
	for param, flag := range map[string]string{
		"request": "request", "endpoint": "endpoint", "failureDomain": "failure-domain",
	} {
		if v := c.String(flag); v != "" {
			t.query.Set(param, v)
		}
	}
	if v := c.Uint64("version"); v != 0 {
		t.query.Set("version", strconv.FormatUint(v, 10))
	}
	if err := t.addProcesses(ctx); err != nil {
		return err
	}
	if c.Bool("follow") {
		return a.follow(ctx, t)
	}
	t.readAll(ctx)
	t.readAll(ctx) // adds causes that occurred after their process was read, but before their effects were read
	if err := ctx.Err(); err != nil {
		return err
	}
	unreachable := t.readErrors()
	if len(unreachable) == len(t.sources) {
		return &requester.UnreachableError{Causes: unreachable}
	}
	a.printWarnings(append(unreachable, t.dropped...))
	events := t.takeUntil(t.highest)
	return a.printTimeline(c, &mergedTimeline{Events: events, Unreachable: unreachable, Dropped: t.dropped})
}

func (a *app) printTimeline(c *invocation, m *mergedTimeline) error {
	if c.String("output") == outputJSON {
		return a.printResult(c, m, "")
	}
	rows := &table{}
	rows.addRow("STAMP", "PROCESS", "EVENT", "REQUEST", "ENDPOINT", "FAILURE DOMAIN", "VERSION", "CAUSE", "DETAILS")
	for i := range m.Events {
		rows.addRow(eventCells(&m.Events[i])...)
	}
	return a.printTable(rows)
}

// logTimeline merges the logs of processes in the order of their wall clocks.
func (a *app) logTimeline(c *invocation) error {
	if c.Bool("follow") {
		return usagef("%s: --follow cannot be combined with --log; allowed: one of them", c.FullName())
	}
	filter := recorder.Filter{
		Request: c.String("request"), Endpoint: c.String("endpoint"), FailureDomain: c.String("failure-domain"),
		Version: c.Uint64("version"),
	}
	m := &mergedTimeline{Events: []recorder.Event{}, Unreachable: []string{}}
	for _, name := range c.StringSlice("log") {
		skipped, err := a.readLog(name, func(e recorder.Event) {
			if filter.Matches(&e) {
				m.Events = append(m.Events, e)
			}
		})
		if err != nil {
			return &usageError{cause: err}
		}
		if skipped > 0 {
			m.Dropped = append(m.Dropped, fmt.Sprintf("%s: skipped %d lines without a time or a message", name, skipped))
		}
	}
	a.printWarnings(m.Dropped)
	slices.SortStableFunc(m.Events, func(x, y recorder.Event) int { return x.Stamp.Compare(y.Stamp) })
	return a.printTimeline(c, m)
}

func (a *app) readLog(name string, handle func(e recorder.Event)) (skipped int, err error) {
	if name == "-" {
		return logreader.Read(a.stdin, handle)
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	return logreader.Read(file, handle)
}

// mergedTimeline is the JSON form of a timeline.
type mergedTimeline struct {
	Events []recorder.Event `json:"events"`
	// Unreachable describes the processes that could not be read, with the error of each.
	Unreachable []string `json:"silent"`
	// Dropped describes the sources of which events or log lines are missing.
	Dropped []string `json:"dropped"`
}

func (a *app) printWarnings(lines []string) {
	for _, l := range lines {
		a.printProgress("warning: %s", l)
	}
}

// addProcesses adds the connected processes, and the control instances of the settings, which serve timelines too.
func (t *timelineMerger) addProcesses(ctx context.Context) error {
	list, _, err := t.invocation.readProcesses(ctx)
	if err != nil {
		return err
	}
	for _, p := range list {
		t.addSource(&source{name: p.Name, address: p.Address, isListed: true})
	}
	for _, address := range t.invocation.settings.Controls {
		t.addSource(&source{name: "control at " + address, address: address})
	}
	return nil
}

func (t *timelineMerger) addSource(s *source) {
	if t.sources[s.address] == nil {
		t.sources[s.address] = s
	}
}

// readAll reads the new events of every source, which is one round.
func (t *timelineMerger) readAll(ctx context.Context) {
	t.previousHighest = t.highest
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelReads)
	for _, s := range t.sources {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			events, dropped, err := t.readSource(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			s.readError = ""
			if err != nil {
				s.readError = fmt.Sprintf("%s (%s): %v", s.name, s.address, err)
			}
			if dropped > 0 {
				t.dropped = append(t.dropped, fmt.Sprintf("%s: %d events are no longer stored", s.name, dropped))
			}
			t.pending = append(t.pending, events...)
		})
	}
	wg.Wait()
	for i := range t.pending {
		if t.pending[i].Stamp.Compare(t.highest) > 0 {
			t.highest = t.pending[i].Stamp
		}
	}
	slices.SortFunc(t.pending, compareEvents)
	// A process with two addresses is read twice.
	t.pending = slices.CompactFunc(t.pending, func(x, y recorder.Event) bool { return compareEvents(x, y) == 0 })
	slices.Sort(t.dropped)
}

func compareEvents(x, y recorder.Event) int {
	return cmp.Or(x.Stamp.Compare(y.Stamp), strings.Compare(x.Incarnation, y.Incarnation),
		cmp.Compare(x.Sequence, y.Sequence))
}

// readSource returns the events of one source after its cursor. The cursor advances only past returned events.
func (t *timelineMerger) readSource(
	ctx context.Context, s *source,
) (events []recorder.Event, dropped uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, processReadTimeout)
	defer cancel()
	for {
		p, err := t.readPage(ctx, s)
		if err != nil {
			return events, dropped, err
		}
		for i := range p.Events {
			if s.isListed {
				p.Events[i].Process = s.name
			}
		}
		events, dropped = append(events, p.Events...), dropped+p.Dropped
		if p.Next == s.cursor || len(p.Events) == 0 {
			s.cursor = p.Next
			return events, dropped, nil
		}
		s.cursor = p.Next
	}
}

func (t *timelineMerger) readPage(ctx context.Context, s *source) (p recorder.Page, err error) {
	q := url.Values{"after": {s.cursor}}
	for k, v := range t.query {
		q[k] = v
	}
	target := requester.URL(s.address, recorder.Path+"?"+q.Encode(), t.invocation.settings.tls)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return p, err
	}
	resp, err := t.httpClient.Do(r)
	if err != nil {
		return p, errors.Unwrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	return p, json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&p)
}

func (t *timelineMerger) readErrors() []string {
	list := []string{}
	for _, s := range t.sources {
		if s.readError != "" {
			list = append(list, s.readError)
		}
	}
	slices.Sort(list)
	return list
}

// takeUntil removes and returns the pending events with stamps up to until.
func (t *timelineMerger) takeUntil(until timestamper.Timestamp) []recorder.Event {
	n := slices.IndexFunc(t.pending, func(e recorder.Event) bool { return e.Stamp.Compare(until) > 0 })
	if n < 0 {
		n = len(t.pending)
	}
	events := append([]recorder.Event{}, t.pending[:n]...)
	t.pending = t.pending[n:]
	return events
}

// follow prints the events of a round one round later, because an effect may be read one round before its cause.
func (a *app) follow(ctx context.Context, t *timelineMerger) error {
	ticker := time.NewTicker(a.pollInterval)
	defer ticker.Stop()
	var printed []string
	for n := 1; ; n++ {
		t.readAll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		lines := append(t.readErrors(), t.dropped...)
		a.printWarnings(slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return slices.Contains(printed, l) }))
		printed = lines
		events := t.takeUntil(t.previousHighest)
		for i := range events {
			if err := a.printEvent(t.invocation, &events[i]); err != nil {
				return err
			}
		}
		if n%processListRounds == 0 {
			if err := t.addProcesses(ctx); err != nil && ctx.Err() == nil {
				a.printProgress("warning: read process list: %v", err)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *app) printEvent(c *invocation, e *recorder.Event) error {
	if c.String("output") == outputJSON {
		return json.NewEncoder(a.stdout).Encode(e)
	}
	var line strings.Builder
	for i, cell := range eventCells(e) {
		if text := fmt.Sprint(cell); text != "" {
			if i > 0 {
				line.WriteString("  ")
			}
			line.WriteString(text)
		}
	}
	_, err := fmt.Fprintln(a.stdout, line.String())
	return err
}

func eventCells(e *recorder.Event) []any {
	details := make([]string, 0, len(e.Details))
	for _, d := range e.Details {
		details = append(details, d.Name+"="+d.Value)
	}
	version := ""
	if e.Version > 0 {
		version = strconv.FormatUint(e.Version, 10)
	}
	stamp := fmt.Sprintf("%s+%d", time.UnixMilli(e.Stamp.Millis).UTC().Format("2006-01-02T15:04:05.000Z"), e.Stamp.Count)
	return []any{
		stamp, e.Process, e.Kind, e.Request, e.Endpoint, e.FailureDomain, version, e.Cause, strings.Join(details, " "),
	}
}
