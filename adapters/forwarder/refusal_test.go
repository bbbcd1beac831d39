package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func formatRefusal(status string, ids ...string) string {
	head := "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\n"
	for _, id := range ids {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "Content-Length: 5\r\n\r\nfull\n"
}

// Guards against an earlier refusal that is written once more and taken for the response to a request that runs: it may
// arrive with any status and ID, in pieces, at once or while the request runs, and its ID may be used again.
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		for _, c := range []struct {
			name, copied string
			second       string // ID of the request that runs
		}{
			{"same ID as before", formatRefusal(status, "1"), "2"},
			{"ID used again", formatRefusal(status, "1"), "1"},
			{"another ID", formatRefusal(status, "3"), "2"},
			{"no ID", formatRefusal(status), "2"},
			{"two IDs", formatRefusal(status, "1", "2"), "2"},
			{"two copies", formatRefusal(status, "1") + formatRefusal(status, "1"), "2"},
			{"cut off in the status", "HTTP/1.1 " + status[:3], "2"},
			{"cut off after the status", "HTTP/1.1 " + status[:4], "2"},
			{"cut off in the reason", "HTTP/1.1 " + status[:8], "2"},
			{"cut off in the head", formatRefusal(status, "1")[:40], "2"},
			{"cut off before the body", strings.TrimSuffix(formatRefusal(status, "1"), "full\n"), "2"},
			{"cut off in the body", strings.TrimSuffix(formatRefusal(status, "1"), "ll\n"), "2"},
			{"no length", "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nX-Id: 1\r\n\r\nfull\n", "2"},
		} {
			for _, timing := range []string{"before the answer", "while it runs", "byte by byte"} {
				t.Run(status[:3]+" "+c.name+" "+timing, func(t *testing.T) {
					t.Parallel()
					address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
						refused := false
						for {
							r, _ := readRequest(br)
							if r == nil {
								return
							}
							id := r.Header.Get("X-Id")
							switch {
							case r.Header.Get("X-Run") == "":
								_, _ = io.WriteString(conn, formatRefusal(status, id))
								refused = true
								continue
							case !refused:
							case timing == "byte by byte":
								for _, b := range []byte(c.copied) {
									_, _ = conn.Write([]byte{b})
								}
							default:
								_, _ = io.WriteString(conn, c.copied)
							}
							if timing == "while it runs" {
								time.Sleep(20 * time.Millisecond)
							}
							_, _ = io.WriteString(conn, formatResponse(id, "answer "+id))
						}
					})
					p := NewPool(DefaultLimits())
					assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "full\n")
					r := newRequest(address, c.second, nil)
					r.Header.Set("X-Run", "yes")
					r.Deadline = time.Now().Add(testTimeout / 4)
					resp, err := p.Send(context.Background(), r)
					var sendErr *Error
					if errors.As(err, &sendErr) {
						assert.Equal(t, sendErr.Outcome, Unknown)
						return
					}
					assert.NilError(t, err)
					body, err := io.ReadAll(resp.Body)
					assert.NilError(t, err)
					assert.NilError(t, resp.Body.Close())
					assert.Equal(t, resp.Status, http.StatusOK, "%q", body)
					assert.Equal(t, string(body), "answer "+c.second)
				})
			}
		}
	}
}

// Guards against a connection on which an endpoint has written bytes that nobody asked for and that carries a further
// request.
func TestConnectionWithASkippedResponseIsClosed(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, br *bufio.Reader) {
		for i := 1; ; i++ {
			r, _ := readRequest(br)
			if r == nil {
				return
			}
			if n == 1 && i == 2 {
				_, _ = io.WriteString(conn, formatRefusal("503 Service Unavailable", "1"))
			}
			_, _ = io.WriteString(conn, formatResponse(r.Header.Get("X-Id"), "answer"))
		}
	})
	p := NewPool(DefaultLimits())
	for _, id := range []string{"1", "2", "3", "4"} {
		assert.Equal(t, sendAndRead(t, p, newRequest(address, id, nil)), "answer")
	}
	assert.Equal(t, p.DialCount(), uint64(2))
	assert.Equal(t, openCount(p, address), 1)
}

// Guards against a refusal without an ID that counts as proof that a request has not run, also on a new connection.
func TestOnlyResponsesWithTheIDNameTheRequest(t *testing.T) {
	for _, c := range []struct {
		name, id string
		response string
		want     bool
	}{
		{"with the ID", "1", formatRefusal("503 Service Unavailable", "1"), true},
		{"without an ID", "1", formatRefusal("503 Service Unavailable"), false},
		{"without an ID to a request without one", "", formatRefusal("400 Bad Request"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				if r, _ := readRequest(br); r != nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			r := newRequest(address, c.id, nil)
			if c.id == "" {
				r.Header.Del("X-Id")
			}
			resp, err := NewPool(DefaultLimits()).Send(context.Background(), r)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, resp.NamesRequest, c.want)
		})
	}
}

// Guards against the second of two responses with the same ID that reaches another request: a refusal after the answer,
// and an answer after a refusal that came before the request was written.
func TestSecondResponseUnderOneIDIsDropped(t *testing.T) {
	refusal, answer := formatRefusal("503 Service Unavailable", "1"), formatResponse("1", "answer 1")
	for _, c := range []struct {
		name, first, second, want string
		bodyBytes                 int
	}{
		{"refusal after the answer", answer, refusal, "answer 1", 0},
		{"answer after the refusal", refusal, answer, "full\n", 0},
		{"answer after an early refusal", refusal, answer, "full\n", 64 << 20}, // more than the socket buffers hold
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(c.name+" "+pause.String(), func(t *testing.T) {
				address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						if id := r.Header.Get("X-Id"); id != "1" {
							_, _ = io.WriteString(conn, formatResponse(id, "answer "+id))
							continue
						}
						_, _ = io.WriteString(conn, c.first)
						time.Sleep(pause)
						_, _ = io.WriteString(conn, c.second)
						if _, err := io.Copy(io.Discard, r.Body); err != nil {
							return
						}
					}
				})
				p := NewPool(DefaultLimits())
				assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", make([]byte, c.bodyBytes))), c.want)
				for _, id := range []string{"2", "3"} {
					assert.Equal(t, sendAndRead(t, p, newRequest(address, id, nil)), "answer "+id)
				}
			})
		}
	}
}

// Guards against a refusal of another request that comes first on a new connection.
func TestForeignRefusalOnANewConnectionIsSkipped(t *testing.T) {
	for _, ids := range [][]string{{"9"}, {"1", "9"}, {"9", "1"}, {"1", "1"}, {""}} {
		address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if r, _ := readRequest(br); r == nil {
				return
			}
			_, _ = io.WriteString(conn, formatRefusal("503 Service Unavailable", ids...)+formatResponse("1", "answer"))
		})
		p := NewPool(DefaultLimits())
		assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "answer", "%q", ids)
		assert.Equal(t, openCount(p, address), 0)
	}
}
