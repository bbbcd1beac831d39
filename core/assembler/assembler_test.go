package assembler

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against wrong, duplicate or missing bytes when frames repeat or skip bytes, overlap, or belong to
// another attempt.
func TestAssemblerDeliversEveryByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "answer")
		key := Key{Request: 7, Attempt: 2}
		a := New(key)
		got := make([]byte, 0, len(response))
		for range rapid.IntRange(0, 40).Draw(t, "frames") {
			from := rapid.IntRange(0, len(response)).Draw(t, "from")
			to := rapid.IntRange(from, len(response)).Draw(t, "to")
			f := Frame{Key: key, Offset: int64(from), Data: response[from:to]}
			if rapid.Bool().Draw(t, "mismatched") {
				f.Key.Attempt++
				f.Data = bytes.Repeat([]byte{0xff}, len(f.Data))
			}
			p, res := a.Accept(f)
			assert.Equal(t, res == Gap, f.Key == key && int64(from) > int64(len(got)))
			got = append(got, p...)
			assert.Equal(t, a.Offset(), int64(len(got)))
			assert.Assert(t, bytes.Equal(got, response[:len(got)]))
		}
		assert.Equal(t, a.Finish(key, int64(len(response))) == Accepted, len(got) == len(response))
		p, res := a.Accept(Frame{Key: key, Offset: a.Offset(), Data: response[len(got):]})
		assert.Assert(t, res == Accepted || len(p) == 0)
		assert.Assert(t, a.IsComplete())
		assert.Assert(t, bytes.Equal(append(got, p...), response))
	})
}

// Guards against accepting a length or frames that contradict what was received before.
func TestAssemblerRejectsContradictions(t *testing.T) {
	key := Key{Request: 1, Attempt: 1}
	a := New(key)
	_, res := a.Accept(Frame{Key: key, Data: []byte("heel")})
	assert.Equal(t, res, Accepted)
	assert.Equal(t, a.Finish(Key{Request: 1, Attempt: 2}, 4), KeyMismatch)
	assert.Equal(t, a.Finish(key, 3), Overrun)
	assert.Equal(t, a.Finish(key, 6), Gap)
	assert.Equal(t, a.Finish(key, 5), Overrun)
	_, res = a.Accept(Frame{Key: key, Offset: 4, Data: []byte("toe")})
	assert.Equal(t, res, Overrun)
	_, res = a.Accept(Frame{Key: key, Offset: -1, Data: []byte("toe")})
	assert.Equal(t, res, Overrun)
	a.Close()
	_, res = a.Accept(Frame{Key: key, Offset: 4, Data: []byte("to")})
	assert.Equal(t, res, Late)
}
