//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	hostLine    = "Host: h.example\r\n"
	chunkedLine = "Transfer-Encoding: chunked\r\n"
)

// request returns a request without a body, and with further header lines.
func request(line, header string) string { return line + " HTTP/1.1\r\n" + hostLine + header + "\r\n" }

// promptParts returns a header line of n bytes with the parts of a prompt.
func promptParts(n int) string {
	return "Cactus-Prompt-Parts: " + strings.TrimSuffix(lines(n, func(i int) string {
		return strconv.FormatInt(int64(i), 36) + ":1,"
	}), ",") + "\r\n"
}

// names returns different short names with up to n bytes together, with a separator for each.
func names(n int) []string {
	return strings.Fields(lines(n, func(i int) string { return strconv.FormatInt(int64(i+36), 36) + " " }))
}

// sendAndDiscard sends a request, and reads the answer for as long as it goes on.
func sendAndDiscard(text string) crowdConn {
	return func(c net.Conn) {
		send(text)(c)
		_, _ = io.Copy(io.Discard, c)
	}
}

// mixed returns a caller's part in a crowd whose callers take turns with different parts.
func mixed(parts ...crowdConn) crowdConn {
	var next atomic.Int64
	return func(c net.Conn) { parts[int(next.Add(1))%len(parts)](c) }
}

// Guards against bounds that hold one by one and not together: everything that callers may hold at once, beside the
// state of the largest deployment, on the smallest machine of all deployments.
func TestMixedCrowdAtNodeWithFullState(t *testing.T) {
	const (
		routes     = 6000 // a plan of a megabyte
		endpoints  = 3000
		waves      = 4
		allCallers = 900 // more than the machine has descriptors for
	)
	smallest := machineLimits{memoryBytes: 136 << 20, descriptors: 2870}
	moreRoutes := make([]any, routes)
	for i := range moreRoutes {
		moreRoutes[i] = route("further-"+strconv.Itoa(i), "/further/"+strconv.Itoa(i)+"/", "s")
	}
	n := startNode(t, build(t), smallest, moreRoutes...)
	n.awaitOrdinary(t, "before the endpoints")
	for i := range endpoints {
		status := n.register("further-"+strconv.Itoa(i), "engines", fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250), 1)
		assert.Equal(t, status, http.StatusOK)
	}
	whole := head("GET /hold/", headBytes, shortLine) + "\r\n"
	for range waves {
		n.meet(t, n.front, allCallers, mixed(
			send(whole), send(head("GET /hold/", headBytes, shortLine)), sendSlowly(whole),
			send(request("POST /hold/", chunkedLine), "1\r\nx\r\n0\r\n"+lines(4000, shortLine)+"\r\n"),
			send(request("GET /engines/hold/", promptParts(headBytes-200))),
			send("POST /hold/ HTTP/1.1\r\n"+hostLine+"Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n",
				strings.Repeat("x", bodyBytes/4)),
			send(request("POST /hold/", chunkedLine), strings.Repeat("1\r\nx\r\n", chunkedBytes/6)),
			send(request("POST /hold/", "Content-Length: 15000\r\n"), strings.Repeat("x", 15000)),
			sendAndDiscard(request("GET /unfinished/", "")), send(request("GET /large/", "")),
			send(request("GET /ordinary/", "")+head("GET /hold/", 3900, shortLine)), send(),
		))
	}
}

// wavesVariable is the number of crowds that TestRepeatedCrowdsAtNode lets come, for runs of minutes by hand.
const wavesVariable = "CROWD_WAVES"

// Guards against memory that stays behind for each connection, name, key, request ID, prompt part, host or stream that
// callers think of: no two requests share any of them.
func TestRepeatedCrowdsAtNode(t *testing.T) {
	waves := 10
	if n, err := strconv.Atoi(os.Getenv(wavesVariable)); err == nil {
		waves = n
	}
	n := startNode(t, build(t), manyDescriptors)
	var next atomic.Int64
	for range waves {
		n.meet(t, n.front, manyCallers, func(c net.Conn) {
			id := strconv.FormatInt(next.Add(1), 10)
			for i, path := range []string{"/ordinary/", "/engines/ordinary/", "/none" + id + "/"} {
				unique := id + "-" + strconv.Itoa(i)
				sendAndReceive(request("GET "+path+"?"+unique, "Cactus-Request-Id: id"+unique+"\r\nCactus-Key: key"+unique+
					"\r\nCactus-Prompt-Parts: shared"+unique+":100,own"+unique+":10\r\nLast-Event-Id: "+id+
					"\r\nCactus-Resumes: stream"+unique+"\r\n"+lines(2<<10, func(line int) string {
					return "name" + unique + "-" + strconv.Itoa(line) + ": value" + unique + "\r\n"
				})))(c)
			}
			send("GET / HTTP/1.1\r\nHost: host" + id + ".example\r\n\r\n")(c)
		})
	}
}

// Guards against crowds at a node of which each caller holds little by itself, on a machine with descriptors for all.
func TestManyCallersAtNode(t *testing.T) {
	binaries := build(t)
	for _, c := range []struct {
		name string
		act  crowdConn
	}{
		{"small requests in progress", send(request("GET /hold/", ""))},
		{"large answers, unfinished", sendAndDiscard(request("GET /unfinished/", ""))},
		{"large answers of known length, unfinished", sendAndDiscard(request("GET /announced/", ""))},
		{"large answers that nobody reads", send(request("GET /large/", ""))},
		{"trailers", send(request("POST /hold/", chunkedLine), "1\r\nx\r\n0\r\n"+lines(4000, shortLine)+"\r\n")},
		{"announced trailers", send(
			request("POST /hold/", chunkedLine+"Trailer: "+strings.Join(names(headBytes-200), ",")+"\r\n"), "1\r\nx\r\n")},
		{"tokens of Connection", send(request("GET /hold/", "Connection: "+strings.Join(names(headBytes-200), ",")+"\r\n"))},
		{"prompt parts", send(request("GET /engines/hold/", promptParts(headBytes-200)))},
		{"head behind an empty line", send(
			request("POST /ordinary/", "Content-Length: 1\r\n")+"x", "\r\n"+head("GET /hold/", 3900, shortLine)+"\r\n")},
		{"unfinished head behind a request", func(c net.Conn) {
			send(request("GET /later/", "") + head("GET /hold/", 3900, shortLine))(c)
			time.Sleep(laterTime / 2)
			sendAndReceive("b")(c)
			time.Sleep(trickleWait)
		}},
		{"bytes behind a request", send(request("GET /hold/", ""), strings.Repeat("x", chunkedBytes))},
		{"bytes behind a request, after a large body", send(request("POST /ordinary/", "Content-Length: 1048576\r\n"),
			strings.Repeat("x", 1<<20), request("GET /hold/", ""), strings.Repeat("x", 2<<20))},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binaries, manyDescriptors)
			n.meet(t, n.front, manyCallers, c.act)
		})
	}
}
