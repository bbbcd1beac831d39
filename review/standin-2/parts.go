package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stabilityWindow = 3 * time.Second
	restartAfter    = 3 * time.Second // "back after some seconds"
	badPart         = "91bd3f06"

	// countedCrash is the crash after which the rules count.
	countedCrash = 5
)

// engine is a model replica that crashes when it begins to write an answer on badPart.
type engine struct {
	f       *fleet
	index   int
	zone    string
	crashes *crashLog

	mu      sync.Mutex
	starts  int
	address string
	replica *replica
}

// crashLog holds the crashes of all replicas, and the requests with badPart that reached one.
type crashLog struct {
	mu               sync.Mutex
	crashes, arrived []time.Time
}

func (l *crashLog) add(list *[]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, time.Now())
}

// from returns when the rules begin to count: a time after the fifth crash, or the last one if there are fewer.
func (l *crashLog) from(after time.Duration) (at time.Time, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) == 0 {
		return at, 0
	}
	return l.crashes[min(countedCrash, len(l.crashes))-1].Add(after), len(l.crashes)
}

func (l *crashLog) arrivedAfter(at time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.arrived {
		if t.After(at) {
			n++
		}
	}
	return n
}

func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	id := fmt.Sprintf("i-%d-%d", e.index, e.starts)
	r, err := e.f.startReplica(id, "llm", e.zone, "v1", 128, e.address, e.serve)
	if err != nil {
		return err
	}
	e.replica, e.address = r, r.address()
	e.f.rec.printf("replica %s started at %s", id, e.address)
	return nil
}

func (e *engine) serve(c net.Conn, r *http.Request, _ []byte) bool {
	e.mu.Lock()
	me := e.replica
	e.mu.Unlock()
	rec, id := e.f.rec, r.Header.Get("X-Cactusroute-Request-Id")
	isBad := strings.Contains(","+r.Header.Get("X-Cactusroute-Prompt-Prefix"), ","+badPart+":")
	rec.printf("replica %s runs %s %s", me.id, id, r.URL.Path)
	if isBad {
		e.crashes.add(&e.crashes.arrived)
	}
	time.Sleep(60 * time.Millisecond) // until the first token
	if isBad {
		rec.printf("replica %s crashes as it begins to answer %s", me.id, id)
		e.crashes.add(&e.crashes.crashes)
		me.crash()
		time.AfterFunc(restartAfter, func() {
			if err := e.start(); err != nil {
				rec.printf("replica %d not started again: %v", e.index, err)
			}
		})
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Cactusroute-Request-Id: %s\r\n"+
		"X-Cactusroute-Response-Signature: sig-%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, me.id)
	for i := 1; i <= 10 && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(80 * time.Millisecond)
	}
	if err == nil {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	return err == nil
}

// partsCase is a deployment of one route to model replicas, with one caller.
type partsCase struct {
	f       *fleet
	crashes *crashLog

	mu    sync.Mutex
	sound []*attempt
}

const (
	partsHost   = "ficu95.example"
	partsKey    = "n2ctnfzs989anu6wsjnb"
	partsTenant = "hule930"
)

func startParts(ctx context.Context, env *environment, replicas int) (p *partsCase, err error) {
	f, err := newFleet(env.rec, env.root, fleetOptions{disks: 3, machines: 1, memoryMb: 284, maxFds: 4100})
	if err != nil {
		return nil, err
	}
	p = &partsCase{f: f, crashes: &crashLog{}}
	if err := f.startAll(); err != nil {
		return p, err
	}
	routes := []obj{{"name": "r-chat", "host": partsHost, "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 4000,
		"targetLatencyMs": 600, "priority": 0, "service": "llm", "maxAttempts": 1, "public": false, "sticky": true,
		"resumable": false, "gapAimMs": 250}}
	services := []obj{{"name": "llm", "healthPath": "/health", "maxConnections": 1260, "protocol": "h1", "tls": false,
		"coldStartS": 0, "coldPerS": 0, "engine": obj{"slots": 128, "kvCapacityTokens": 861905, "kvTokenBytes": 18432,
			"linkMbps": 180000.0, "moves": true, "backups": true, "stride": 6, "most": 2, "pinMs": 4000.0, "holdMs": 2000.0,
			"handleS": 5.0, "models": []obj{{"name": "m"}}}}}
	tenants := []obj{{"name": partsTenant, "apiKeys": []string{partsKey}, "priority": 1}}
	if err := f.order(ctx, http.MethodPut, "/config", plan(7, routes, services, tenants)); err != nil {
		return p, err
	}
	for i := range replicas {
		e := &engine{f: f, index: i, zone: f.opts.zones[i%len(f.opts.zones)], crashes: p.crashes}
		if err := e.start(); err != nil {
			return p, err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return p, err
	}
	time.Sleep(stabilityWindow + time.Second)
	return p, nil
}

// send sends a prompt to any machine.
func (p *partsCase) send(kind, path, parts, question string) *attempt {
	a := &attempt{id: newID(), method: http.MethodPost, target: path, host: partsHost, timeout: 4 * time.Second,
		body: asJSON(obj{"question": question}),
		header: map[string]string{"X-Api-Key": partsKey, "X-Cactusroute-Model": "m", "X-Cactusroute-Token-Counts": "1460,80",
			"X-Cactusroute-Prompt-Prefix": parts, "Content-Type": "application/json"}}
	n := p.f.nodes[rand.IntN(len(p.f.nodes))]
	a.send(n.front)
	p.f.rec.printf("client: %s request %s, sent to %s at %.3f: status %d %s, complete %v, %v", kind, a.id, n.name,
		a.sentAt.Sub(p.f.rec.start).Seconds(), a.status, a.reason(), a.complete, a.err)
	return a
}

// runSound lets users ask questions until ctx ends, each after the answer to the one before.
func (p *partsCase) runSound(ctx context.Context, wg *sync.WaitGroup, users int, ask func(user int) *attempt) {
	for u := range users {
		wg.Go(func() {
			time.Sleep(time.Duration(u) * time.Second / time.Duration(users))
			for ctx.Err() == nil {
				a := ask(u)
				p.mu.Lock()
				p.sound = append(p.sound, a)
				p.mu.Unlock()
				if a.status == http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				} else {
					time.Sleep(time.Second)
				}
			}
		})
	}
}

// shares counts the sound requests that began at their first attempt, of those sent before one time and after another.
func (p *partsCase) shares(before, after time.Time) (beganBefore, nBefore, began, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.sound {
		ok := a.status == http.StatusOK && a.signature() != "" && !a.firstAt.IsZero()
		switch {
		case a.sentAt.Before(before):
			nBefore++
			if ok {
				beganBefore++
			}
		case !after.IsZero() && a.sentAt.After(after):
			n++
			if ok {
				began++
			}
		}
	}
	return beganBefore, nBefore, began, n
}

// popularQuestions checks the rule LOST about sound requests while requests with a part that crashes replicas come.
func popularQuestions(ctx context.Context, env *environment) (string, error) {
	p, err := startParts(ctx, env, 4)
	if p != nil {
		defer p.f.stop()
	}
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	const questions, users = 2, 56
	p.runSound(ctx, &wg, users, func(u int) *attempt {
		q := u % questions
		return p.send("sound", fmt.Sprintf("/chat/2%d", q), fmt.Sprintf("5c1e07a2:800,77aa1200:410,e4402b%02x:250", q),
			fmt.Sprintf("popular question %d", q))
	})
	time.Sleep(12 * time.Second)
	troubleAt := time.Now()
	env.rec.printf("from now on, requests with the part come")
	for i := 0; time.Since(troubleAt) < 45*time.Second; i++ {
		if env.trouble {
			wg.Go(func() {
				p.send("bad", fmt.Sprintf("/chat/u%d", i), fmt.Sprintf("5c1e07a2:800,%s:400,77aa1200:410,aa%06x:250", badPart, i),
					fmt.Sprintf("other question %d", i))
			})
		}
		time.Sleep(700 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	from, crashes := p.crashes.from(2 * stabilityWindow)
	if !env.trouble {
		from = troubleAt
	}
	beganBefore, nBefore, began, n := p.shares(troubleAt.Add(-2*time.Second), from)
	result := fmt.Sprintf("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d from 6 s after the "+
		"last counted crash on", crashes, beganBefore, nBefore, began, n)
	env.rec.printf("%s", result)
	fmt.Println(result)
	if nBefore < 20 || n < 20 || env.trouble && crashes == 0 {
		return "", fmt.Errorf("nothing to compare: %s", result)
	}
	if 2*began*nBefore < beganBefore*n {
		return "LOST: sound requests with the same key and first part begin less than half as often as before", nil
	}
	return "", nil
}

// middlePart checks the rules BUDGET and LOST about a part that crashes replicas in the middle of a long prompt. BAD_EVERY_MS
// sets the time between two requests with the part.
func middlePart(ctx context.Context, env *environment) (string, error) {
	p, err := startParts(ctx, env, 6)
	if p != nil {
		defer p.f.stop()
	}
	if err != nil {
		return "", err
	}
	const shared, badAt = 80, 40
	prompt := func(middle, own string) string {
		var list []string
		for i := range shared {
			part := fmt.Sprintf("d0c%05x:100", i)
			if i == badAt {
				part = middle + ":100"
			}
			list = append(list, part)
		}
		return strings.Join(append(list, own+":250"), ",")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	p.runSound(ctx, &wg, 6, func(u int) *attempt {
		own := fmt.Sprintf("e4%06x", rand.IntN(1<<24))
		return p.send("sound", "/chat/"+own, prompt("77aa1200", own), "question "+own)
	})
	time.Sleep(12 * time.Second)
	troubleAt := time.Now()
	env.rec.printf("from now on, requests with the part come")
	for i := 0; time.Since(troubleAt) < 40*time.Second; i++ {
		if env.trouble {
			wg.Go(func() {
				own := fmt.Sprintf("aa%06x", i)
				p.send("bad", "/chat/"+own, prompt(badPart, own), "other question "+own)
			})
		}
		time.Sleep(time.Duration(envInt("BAD_EVERY_MS", 400)) * time.Millisecond)
	}
	cancel()
	wg.Wait()
	from, crashes := p.crashes.from(stabilityWindow)
	reached := 0
	if crashes >= countedCrash {
		reached = p.crashes.arrivedAfter(from)
	}
	beganBefore, nBefore, began, n := p.shares(troubleAt.Add(-2*time.Second), from.Add(stabilityWindow))
	result := fmt.Sprintf("%d crashes; %d requests with the part reached replicas later than 3 s after the fifth; sound requests that "+
		"began at the first attempt: %d of %d before, %d of %d later", crashes, reached, beganBefore, nBefore, began, n)
	env.rec.printf("%s", result)
	fmt.Println(result)
	if nBefore < 20 || env.trouble && crashes == 0 {
		return "", fmt.Errorf("nothing was tried: %s", result)
	}
	var broken []string
	if reached > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with the part reached replicas later than 3 s after the fifth crash", reached))
	}
	if n >= 20 && 2*began*nBefore < beganBefore*n {
		broken = append(broken, "LOST: sound requests with the same key and first part begin less than half as often as before")
	}
	return strings.Join(broken, "; "), nil
}
