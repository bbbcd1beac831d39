package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { scenarios["slowClients"] = slowClients }

// slowClients has one client that stops in the middle of its upload and one that does not read its answer, and checks
// whether the machine ends their requests after the route's timeout.
func slowClients(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	const (
		answerBytes = 40 << 20 // more than the buffers on the way
		patience    = 8 * time.Second
		head        = "%s HTTP/1.1\r\nHost: labels.example\r\nX-Cactusroute-Request-Id: %s\r\nX-Cactusroute-Request-Deadline-Ms: 1500\r\n"
	)
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(ctx, labelsConfig); err != nil {
		return nil, err
	}
	answered := make(chan time.Duration, 16)
	p, err := startReplica(f, "i-app-1", "app", zones[0], "v1", func(r *run) bool {
		if !strings.HasPrefix(r.request.RequestURI, "/lookup/large") {
			return r.respond("200 OK", "label record")
		}
		start := time.Now()
		ok := r.respond("200 OK", strings.Repeat("x", answerBytes))
		answered <- time.Since(start)
		return ok
	})
	if err != nil {
		return nil, err
	}
	defer p.crash()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + time.Second)

	upload, err := net.Dial("tcp", f.address(f.machines[0], f.front))
	if err != nil {
		return nil, err
	}
	defer func() { _ = upload.Close() }()
	body := strings.Repeat("y", 1000)
	if trouble {
		body = body[:500]
	}
	fmt.Fprintf(upload, head+"Content-Length: 1000\r\n\r\n%s", "POST /print/x", requestID(), body)
	_ = upload.SetReadDeadline(time.Now().Add(patience))
	status, err := bufio.NewReader(upload).ReadString('\n')
	rec.printf("upload: %q, error %v", status, err)
	if err != nil {
		breaks = append(breaks, fmt.Sprintf("a request whose upload stalls has no answer after %v", patience))
	}

	reader, err := net.Dial("tcp", f.address(f.machines[0], f.front))
	if err != nil {
		return nil, err
	}
	defer func() { _ = reader.Close() }()
	fmt.Fprintf(reader, head+"\r\n", "GET /lookup/large", requestID())
	if !trouble {
		go func() { _, _ = io.Copy(io.Discard, reader) }()
	}
	select {
	case d := <-answered:
		rec.printf("the replica's answer ended after %v", d)
	case <-time.After(patience):
		breaks = append(breaks, fmt.Sprintf("a client that does not read holds a replica for more than %v", patience))
	}
	return breaks, nil
}
