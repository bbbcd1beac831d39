//go:build crowd

package crowd

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const hostLine = "Host: h.example\r\n"

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

// Guards against crowds at a node of which each caller holds little by itself, on a machine with descriptors for all.
func TestManyCallersAtNode(t *testing.T) {
	binaries := build(t)
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name string
		act  crowdConn
	}{
		{"small requests in progress", send(request("GET /hold/", ""))},
		{"large answers, unfinished", sendAndDiscard(request("GET /unfinished/", ""))},
		{"large answers of known length, unfinished", sendAndDiscard(request("GET /announced/", ""))},
		{"large answers that nobody reads", send(request("GET /large/", ""))},
		{"trailers", send(request("POST /hold/", chunked), "1\r\nx\r\n0\r\n"+lines(4000, shortLine)+"\r\n")},
		{"announced trailers", send(
			request("POST /hold/", chunked+"Trailer: "+strings.Join(names(headBytes-200), ",")+"\r\n"), "1\r\nx\r\n")},
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
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binaries, manyDescriptors)
			n.meet(t, n.front, manyCallers, c.act)
		})
	}
}
