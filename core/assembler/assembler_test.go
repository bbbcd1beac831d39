package assembler

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against wrong, duplicate or missing bytes when frames are duplicate, overlap, skip bytes or belong to
// another attempt.
func TestAssemblerDeliversEveryByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "answer")
		key := Key{Request: 7, Attempt: 2}
		a := New(key)
		got := make([]byte, 0, len(answer))
		for range rapid.IntRange(0, 40).Draw(t, "frames") {
			from := rapid.IntRange(0, len(answer)).Draw(t, "from")
			to := rapid.IntRange(from, len(answer)).Draw(t, "to")
			f := Frame{Key: key, Offset: int64(from), Data: answer[from:to]}
			if rapid.Bool().Draw(t, "mismatched") {
				f.Key.Attempt++
				f.Data = bytes.Repeat([]byte{0xff}, len(f.Data))
			}
			p, v := a.Accept(f)
			assert.Equal(t, v == Gap, f.Key == key && int64(from) > int64(len(got)))
			got = append(got, p...)
			assert.Equal(t, a.Offset(), int64(len(got)))
			assert.Assert(t, bytes.Equal(got, answer[:len(got)]))
		}
		assert.Equal(t, a.Finish(key, int64(len(answer))) == Accepted, len(got) == len(answer))
		p, v := a.Accept(Frame{Key: key, Offset: a.Offset(), Data: answer[len(got):]})
		assert.Assert(t, v == Accepted || len(p) == 0)
		assert.Assert(t, a.IsComplete())
		assert.Assert(t, bytes.Equal(append(got, p...), answer))
	})
}

// Guards against accepting a length or frames that contradict what was received before.
func TestAssemblerRejectsContradictions(t *testing.T) {
	key := Key{Request: 1, Attempt: 1}
	a := New(key)
	_, v := a.Accept(Frame{Key: key, Data: []byte("heel")})
	assert.Equal(t, v, Accepted)
	assert.Equal(t, a.Finish(Key{Request: 1, Attempt: 2}, 4), KeyMismatch)
	assert.Equal(t, a.Finish(key, 3), Overrun)
	assert.Equal(t, a.Finish(key, 6), Gap)
	assert.Equal(t, a.Finish(key, 5), Overrun)
	_, v = a.Accept(Frame{Key: key, Offset: 4, Data: []byte("toe")})
	assert.Equal(t, v, Overrun)
	_, v = a.Accept(Frame{Key: key, Offset: -1, Data: []byte("toe")})
	assert.Equal(t, v, Overrun)
	a.Close()
	_, v = a.Accept(Frame{Key: key, Offset: 4, Data: []byte("to")})
	assert.Equal(t, v, Late)
}
