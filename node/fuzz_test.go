package node

import (
	"bytes"
	"testing"
)

// Guards against bytes of a stream that crash the router, are lost or reordered, or fill its memory.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n: c\r\rid"), 3)
	f.Add([]byte("\r\n\r\n\r\r\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if piece <= 0 || piece > 1<<16 {
			return
		}
		const maxEventBytes = 64
		s := eventSplitter{maxEventBytes: maxEventBytes}
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(piece, len(rest))
			out, err := s.split(bytes.Clone(rest[:n]))
			got = append(got, out...)
			rest = rest[n:]
			if err != nil {
				if len(s.partial) <= maxEventBytes {
					t.Fatalf("%v with %d bytes", err, len(s.partial))
				}
				return
			}
		}
		if got = append(got, s.partial...); !bytes.Equal(got, data) {
			t.Fatalf("got %q of %q", got, data)
		}
	})
}
