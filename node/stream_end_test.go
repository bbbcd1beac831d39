package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stream that ends inside an event, or without framing before its first one, and is forwarded as
// complete, and against complete streams that are taken for broken ones.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	framings := []struct {
		name   string
		frames bool
		frame  func(body string) string // header fields and body
	}{
		{"no framing", false, func(body string) string { return "\r\n" + body }},
		{"chunks", true, func(body string) string {
			if body == "" {
				return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			}
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}},
		{"length", true, func(body string) string { return "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body }},
	}
	for _, c := range []struct {
		name     string
		body     string
		complete bool
		isFramed bool   // complete if it has a length or chunks
		resumeAt string // Last-Event-Id of the second attempt where the route allows one
	}{
		{"complete", events, true, true, ""},
		{"complete with CR LF", strings.ReplaceAll(events, "\n", "\r\n"), true, true, ""},
		{"inside the data of the second event", events[:len(events)-5], false, false, "1"},
		{"before the empty line of the second event", events[:len(events)-1], false, false, "1"},
		{"inside the first event", "id: 1\nda", false, false, ""},
		{"before the first event", "", false, true, ""},
	} {
		for _, f := range framings {
			for _, path := range []string{"/stream/", "/resume/"} {
				t.Run(c.name+" "+f.name+" "+path, func(t *testing.T) {
					broken := newFakeEndpoint(t, func(req *receivedRequest) {
						_, _ = req.conn.Write([]byte("HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Type: text/event-stream\r\n" +
							f.frame(c.body)))
						_ = req.conn.Close()
					})
					resumedAt := "none"
					sound := newFakeEndpoint(t, func(req *receivedRequest) {
						resumedAt = req.r.Header.Get("Last-Event-Id")
						rest := events
						if resumedAt == "1" {
							rest = events[len(events)/2:]
						}
						req.respond("200 OK", "Content-Type: text/event-stream\r\n", rest)
					})
					p := newTestProxy(t, testPlan(1), broken, sound)
					for broken.count() == 0 {
						resumedAt = "none"
						got := p.call(t, http.MethodPost, path, "")
						if broken.count() == 0 {
							continue // the sound endpoint was chosen first
						}
						switch {
						case c.complete || f.frames && c.isFramed:
							assert.NilError(t, got.err)
							assert.Equal(t, got.body, c.body)
							assert.Equal(t, resumedAt, "none")
						case path == "/resume/":
							assert.NilError(t, got.err)
							assert.Equal(t, got.body, events)
							assert.Equal(t, resumedAt, c.resumeAt)
						default:
							assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
						}
					}
				})
			}
		}
	}
}

// Guards against a response of another kind, such as the body of a failure, that is written into a stream which has
// begun, and that then ends it as complete.
func TestOtherResponseIsNotWrittenIntoAStream(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const length = "Content-Length: 15\r\n\r\n" + rest
	for _, c := range []struct {
		name, response string
		fits           bool
	}{
		{"not found", "404 Not Found\r\n" + streamType + length, false},
		{"conflict", "409 Conflict\r\n" + plainType + length, false},
		{"too many requests", "429 Too Many Requests\r\n" + plainType + length, false},
		{"redirect", "307 Temporary Redirect\r\n" + streamType + "Location: /x\r\n" + length, false},
		{"server error", "500 Failed\r\n" + streamType + length, false},
		{"no content", "204 No Content\r\n" + streamType + "\r\n", false},
		{"part of the content", "206 Partial Content\r\n" + streamType + length, false},
		{"another type", "200 OK\r\nContent-Type: application/json\r\n" + length, false},
		{"no type", "200 OK\r\n" + length, false},
		{"no type, empty", "200 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"encoded", "200 OK\r\n" + streamType + "Content-Encoding: gzip\r\n" + length, false},
		{"the rest", "200 OK\r\n" + streamType + length, true},
		{"the rest, with a parameter", "200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n" + length, true},
	} {
		for _, attempts := range []int{2, 3} {
			var mu sync.Mutex
			n := 0
			handle := func(req *receivedRequest) {
				mu.Lock()
				n++
				attempt := n
				mu.Unlock()
				switch attempt {
				case 1:
					_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
						streamType, len(first), first)
					_ = req.conn.Close()
				case 2:
					status, header, _ := strings.Cut(c.response, "\r\n")
					_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 %s\r\nReq-Id: id-1\r\n%s", status, header)
				default:
					req.respond("200 OK", streamType, rest)
				}
			}
			plan := testPlan(1)
			plan.Routes[4].MaxAttempts = attempts
			p := newTestProxy(t, plan, newFakeEndpoint(t, handle), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
			got := p.call(t, http.MethodPost, "/resume/", "x")
			assert.Equal(t, got.status, http.StatusOK, c.name)
			if c.fits || attempts == 3 {
				assert.NilError(t, got.err, c.name)
				assert.Equal(t, got.body, first+rest, c.name)
				continue
			}
			assert.Assert(t, got.err != nil, "%s: looks complete: %q", c.name, got.body)
			assert.Equal(t, got.body, first, c.name)
		}
	}
}

// Guards against bytes of a response that is no continuation of a stream, such as the text of an error or the head of
// another response under a status of success, or events that the caller has already, in a stream that has begun.
func TestOtherContentIsNotWrittenIntoAStream(t *testing.T) {
	const first, second, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	withLength := func(body string) string { return "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body }
	withChunks := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	unframed := func(body string) string { return "Connection: close\r\n\r\n" + body }
	for _, c := range []struct {
		name, begun, body string
		kept              string // what the caller gets of body
		isWhole           bool   // body completes the stream
		third             string // events of a third endpoint with which the stream goes on, if it can
	}{
		{"text of an error", first, "upstream unavailable\n", "", false, second},
		{"text of an error with an empty line", first, "upstream unavailable\n\n", "", false, second},
		{"JSON of an error", first, `{"error":"this endpoint cannot go on"}`, "", false, second},
		{"head of another response", first, "HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\n\r\nbusy", "", false, second},
		{"event without an ID", first, "data: b\n\n", "", false, second},
		{"event with an empty ID", first, "id:\ndata: b\n\n", "", false, second},
		{"begins anew", first, first + second, "", false, second},
		{"lower ID", "id: 10\ndata: a\n\n", "id: 9\ndata: b\n\n", "", false, "id: 11\ndata: b\n\n"},
		{"same ID with zeros", first, "id: 01\ndata: b\n\n", "", false, second},
		{"same ID that is no number", "id: a\ndata: a\n\n", "id: a\ndata: a\n\n", "", false, second},
		{"goes back after an event", first, second + first, second, false, rest},
		{"text after an event", first, second + "busy\n\n", second, false, rest},
		{"ends inside an event", first, second + "id: 3\nda", second, false, rest},
		{"nothing but a part of an event", first, "id: 2\nda", "", false, second},
		{"comment before the event", first, ": waiting\n\n" + second + rest, ": waiting\n\n" + second + rest, true, ""},
		{"ID of more digits", "id: 9\ndata: a\n\n", "id: 10\ndata: b\n\n", "id: 10\ndata: b\n\n", true, ""},
		{"other ID that is no number", "id: a\ndata: a\n\n", "id: b\ndata: b\n\n", "id: b\ndata: b\n\n", true, ""},
		{"stream of events without IDs", "data: a\n\n", "data: a\n\n", "", false, ""},
		{"event without an ID at the break", first + "data: b\n\n", rest, "", false, ""},
	} {
		for i, frame := range []func(string) string{withLength, withChunks, unframed} {
			if i == 2 && c.isWhole {
				continue // nothing tells that it is whole: TestChunkedStreamResumedWithoutFraming
			}
			for _, attempts := range []int{2, 3} {
				got := callBrokenStream(t, attempts, c.begun, streamType+frame(c.body), c.third)
				want, isComplete := c.begun+c.kept, c.isWhole
				if attempts == 3 && c.third != "" {
					want, isComplete = want+c.third, true
				}
				assert.Equal(t, got.status, http.StatusOK, c.name)
				assert.Equal(t, got.body, want, "%s, framing %d, %d attempts", c.name, i, attempts)
				assert.Equal(t, got.err == nil, isComplete, "%s, framing %d, %d attempts: %v", c.name, i, attempts, got.err)
			}
		}
	}
}

// callBrokenStream returns what a caller gets of a resumable stream that breaks off after begun. The next endpoint
// responds with status 200 and second, header fields and body, and the one after it with the events of third.
func callBrokenStream(t *testing.T, attempts int, begun, second, third string) callerResponse {
	t.Helper()
	var mu sync.Mutex
	n := 0
	handle := func(req *receivedRequest) {
		mu.Lock()
		n++
		attempt := n
		mu.Unlock()
		switch attempt {
		case 1:
			_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n"+streamType+
				"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begun), begun)
			_ = req.conn.Close()
		case 2:
			_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n%s", second)
			if !strings.Contains(second, "Content-Length") && !strings.Contains(second, "chunked") {
				_ = req.conn.Close()
			}
		default:
			req.respond("200 OK", streamType, third)
		}
	}
	plan := testPlan(1)
	plan.Routes[4].MaxAttempts = attempts
	p := newTestProxy(t, plan, newFakeEndpoint(t, handle), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
	return p.call(t, http.MethodPost, "/resume/", "x")
}

// Guards against a stream that a caller takes up and that an endpoint begins anew, so that the caller gets events
// twice.
func TestTakenUpStreamDoesNotBeginAnew(t *testing.T) {
	const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, lastID, want string
		isComplete         bool
	}{
		{"not taken up", "", all, true},
		{"before the first event", "0", all, true},
		{"in between", "1", "", false},
		{"after the last event", "2", "", false},
		{"not by a number", "x", all, true},
	} {
		respond := func(req *receivedRequest) { req.respond("200 OK", streamType, all) }
		p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, respond), newFakeEndpoint(t, respond))
		got := p.call(t, http.MethodPost, "/resume/", "x", "Last-Event-Id", c.lastID)
		assert.Equal(t, got.body, c.want, c.name)
		assert.Equal(t, got.err == nil && got.status == http.StatusOK, c.isComplete, "%s: %v", c.name, got.err)
	}
}
