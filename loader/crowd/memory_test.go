//go:build crowd

package crowd

import (
	"io"
	"net"
	"testing"
	"time"
)

const hostLine = "Host: h.example\r\n"

// request returns a request without a body, and with further header lines.
func request(line, header string) string { return line + " HTTP/1.1\r\n" + hostLine + header + "\r\n" }

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
	for _, c := range []struct {
		name string
		act  crowdConn
	}{
		{"small requests in progress", send(request("GET /hold/", ""))},
		{"large answers, unfinished", sendAndDiscard(request("GET /unfinished/", ""))},
		{"large answers of known length, unfinished", sendAndDiscard(request("GET /announced/", ""))},
		{"large answers that nobody reads", send(request("GET /large/", ""))},
		{"head behind an empty line", send(
			request("POST /ordinary/", "Content-Length: 1\r\n")+"x", "\r\n"+head("GET /hold/", 3900, shortLine)+"\r\n")},
		{"unfinished head behind a request", func(c net.Conn) {
			send(request("GET /later/", "") + head("GET /hold/", 3900, shortLine))(c)
			time.Sleep(laterTime / 2)
			sendAndReceive("b")(c)
			time.Sleep(trickleWait)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binaries, manyDescriptors)
			n.meet(t, n.front, manyCallers, c.act)
		})
	}
}
