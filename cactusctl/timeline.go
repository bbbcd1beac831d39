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
	"cactusroute.dev/core/stamper"
)

const (
	// processTimeout bounds the wait for one process, so that a silent one delays the others little.
	processTimeout = 2 * time.Second
	// maxParallel bounds the connections that are open at once to a fleet of up to 1,300 processes.
	maxParallel  = 64
	maxPageBytes = 16 << 20
	// listRounds is how many rounds of reading pass between two reads of the process list.
	listRounds = 10
)

func (a *app) timelineCommand() *cli.Command {
	run := func(ctx context.Context, c *call) error {
		if len(c.StringSlice("log")) > 0 {
			return a.logTimeline(c)
		}
		return a.online(a.timeline)(ctx, c)
	}
	return a.local("timeline", "show the events of all processes, causes before effects", "", run,
		&cli.StringSliceFlag{
			Name: "log", TakesFile: true,
			Usage: "read the log `FILE` of one or more processes and not the fleet; may be repeated, - is standard input",
		},
		&cli.StringFlag{Name: "request", Usage: "only events of the request `ID`"},
		&cli.StringFlag{Name: "endpoint", Usage: "only events of the endpoint `NAME`"},
		&cli.StringFlag{Name: "failure-domain", Usage: "only events of the failure domain `NAME`"},
		&cli.Uint64Flag{Name: "version", Usage: "only events of the bundle `VERSION`"},
		&cli.BoolFlag{Name: "follow", Usage: "go on with new events until interrupted"})
}

// source is the timeline of one process.
type source struct {
	name, address, cursor string
	// isListed is set if the name is that of the process list; programs may record events under a common name.
	isListed bool
	// fault is why the last read failed.
	fault string
}

// timelines merges the timelines of all processes.
type timelines struct {
	http    *http.Client
	call    *call
	query   url.Values
	sources map[string]*source // by address
	pending []recorder.Event
	// horizon is the highest stamp of the rounds before the last one.
	horizon, highest stamper.Timestamp
	dropped          []string
}

func (a *app) timeline(ctx context.Context, c *call) error {
	t := &timelines{
		http: requester.NewHTTP(c.settings.tls), call: c, query: url.Values{}, sources: map[string]*source{},
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
	if err := t.list(ctx); err != nil {
		return err
	}
	if c.Bool("follow") {
		return a.follow(ctx, t)
	}
	t.round(ctx)
	t.round(ctx) // brings the causes, at processes read early, of effects at processes read late
	if err := ctx.Err(); err != nil {
		return err
	}
	silent := t.silent()
	if len(silent) == len(t.sources) {
		return &requester.UnreachableError{Causes: silent}
	}
	a.warn(append(silent, t.dropped...))
	events := t.take(t.highest)
	return a.showTimeline(c, &merged{Events: events, Silent: silent, Dropped: t.dropped})
}

func (a *app) showTimeline(c *call, m *merged) error {
	if c.String("output") == outputJSON {
		return a.say(c, m, "")
	}
	rows := &table{}
	rows.add("STAMP", "PROCESS", "EVENT", "REQUEST", "ENDPOINT", "FAILURE DOMAIN", "VERSION", "CAUSE", "DETAILS")
	for i := range m.Events {
		rows.add(cells(&m.Events[i])...)
	}
	return a.showTable(rows)
}

// logTimeline merges logs of processes, in the order of their clocks.
func (a *app) logTimeline(c *call) error {
	if c.Bool("follow") {
		return usagef("%s: --follow reads the fleet; allowed without --log", c.FullName())
	}
	filter := recorder.Filter{
		Request: c.String("request"), Endpoint: c.String("endpoint"), FailureDomain: c.String("failure-domain"),
		Version: c.Uint64("version"),
	}
	m := &merged{Events: []recorder.Event{}, Silent: []string{}}
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
			m.Dropped = append(m.Dropped, fmt.Sprintf("%s: %d lines have no time or message", name, skipped))
		}
	}
	a.warn(m.Dropped)
	slices.SortStableFunc(m.Events, func(x, y recorder.Event) int { return x.Stamp.Compare(y.Stamp) })
	return a.showTimeline(c, m)
}

func (a *app) readLog(name string, each func(e recorder.Event)) (skipped int, err error) {
	if name == "-" {
		return logreader.Read(a.stdin, each)
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	return logreader.Read(file, each)
}

// merged is the timeline for programs.
type merged struct {
	Events []recorder.Event `json:"events"`
	// Silent names processes that did not answer, with the fault.
	Silent []string `json:"silent"`
	// Dropped names processes that no longer have all of their events.
	Dropped []string `json:"dropped"`
}

func (a *app) warn(lines []string) {
	for _, l := range lines {
		a.progress("warning: %s", l)
	}
}

// list adds the processes that control knows. The control addresses of the settings serve a timeline too.
func (t *timelines) list(ctx context.Context) error {
	list, _, err := t.call.processes(ctx)
	if err != nil {
		return err
	}
	for _, p := range list {
		t.add(&source{name: p.Name, address: p.Address, isListed: true})
	}
	for _, address := range t.call.settings.Controls {
		t.add(&source{name: "control at " + address, address: address})
	}
	return nil
}

func (t *timelines) add(s *source) {
	if t.sources[s.address] == nil {
		t.sources[s.address] = s
	}
}

// round reads what is new at every process.
func (t *timelines) round(ctx context.Context) {
	t.horizon = t.highest
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, s := range t.sources {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			events, dropped, err := t.read(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			s.fault = ""
			if err != nil {
				s.fault = fmt.Sprintf("%s (%s): %v", s.name, s.address, err)
			}
			if dropped > 0 {
				t.dropped = append(t.dropped, fmt.Sprintf("%s no longer has %d of its events", s.name, dropped))
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
	// A process is read twice if it is reachable at two addresses.
	t.pending = slices.CompactFunc(t.pending, func(x, y recorder.Event) bool { return compareEvents(x, y) == 0 })
	slices.Sort(t.dropped)
}

func compareEvents(x, y recorder.Event) int {
	return cmp.Or(x.Stamp.Compare(y.Stamp), strings.Compare(x.Incarnation, y.Incarnation),
		cmp.Compare(x.Sequence, y.Sequence))
}

// read returns the events of one process after its cursor. The cursor moves only with events that are returned.
func (t *timelines) read(ctx context.Context, s *source) (events []recorder.Event, dropped uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	for {
		p, err := t.page(ctx, s)
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

func (t *timelines) page(ctx context.Context, s *source) (p recorder.Page, err error) {
	q := url.Values{"after": {s.cursor}}
	for k, v := range t.query {
		q[k] = v
	}
	target := requester.URL(s.address, recorder.Path+"?"+q.Encode(), t.call.settings.tls)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return p, err
	}
	resp, err := t.http.Do(r)
	if err != nil {
		return p, errors.Unwrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("status %d", resp.StatusCode)
	}
	return p, json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&p)
}

func (t *timelines) silent() []string {
	list := []string{}
	for _, s := range t.sources {
		if s.fault != "" {
			list = append(list, s.fault)
		}
	}
	slices.Sort(list)
	return list
}

// take removes and returns the events up to a stamp.
func (t *timelines) take(until stamper.Timestamp) []recorder.Event {
	n := slices.IndexFunc(t.pending, func(e recorder.Event) bool { return e.Stamp.Compare(until) > 0 })
	if n < 0 {
		n = len(t.pending)
	}
	events := append([]recorder.Event{}, t.pending[:n]...)
	t.pending = t.pending[n:]
	return events
}

// follow prints the events of a round after the next one, because an effect may be read a round before its cause.
func (a *app) follow(ctx context.Context, t *timelines) error {
	ticker := time.NewTicker(a.poll)
	defer ticker.Stop()
	var warned []string
	for n := 1; ; n++ {
		t.round(ctx)
		if ctx.Err() != nil {
			return nil
		}
		lines := append(t.silent(), t.dropped...)
		a.warn(slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return slices.Contains(warned, l) }))
		warned = lines
		events := t.take(t.horizon)
		for i := range events {
			if err := a.printEvent(t.call, &events[i]); err != nil {
				return err
			}
		}
		if n%listRounds == 0 {
			if err := t.list(ctx); err != nil && ctx.Err() == nil {
				a.progress("warning: process list: %v", err)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *app) printEvent(c *call, e *recorder.Event) error {
	if c.String("output") == outputJSON {
		return json.NewEncoder(a.stdout).Encode(e)
	}
	var line strings.Builder
	for i, cell := range cells(e) {
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

func cells(e *recorder.Event) []any {
	details := make([]string, 0, len(e.Details))
	for _, d := range e.Details {
		details = append(details, d.Name+"="+d.Value)
	}
	version := ""
	if e.Version > 0 {
		version = strconv.FormatUint(e.Version, 10)
	}
	at := fmt.Sprintf("%s+%d", time.UnixMilli(e.Stamp.Millis).UTC().Format("2006-01-02T15:04:05.000Z"), e.Stamp.Count)
	return []any{
		at, e.Process, e.Kind, e.Request, e.Endpoint, e.FailureDomain, version, e.Cause, strings.Join(details, " "),
	}
}
