package router

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxEventBytes bounds one event; a chunk of a chat answer has some hundred bytes.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event exceeds 1 MiB")

// eventParser splits a stream of server-sent events at blank lines. Lines end with LF or CRLF; the lone CR that the
// standard also allows is used by no engine and would need a look ahead over chunk borders.
type eventParser struct {
	buf        []byte
	eventStart int // of the current event in buf
	lineStart  int // of the current line in buf
	scanned    int // first byte that was not looked at
}

// feed adds bytes; p may be reused afterwards.
func (p *eventParser) feed(b []byte) error {
	if p.eventStart > 0 {
		n := copy(p.buf, p.buf[p.eventStart:])
		p.buf = p.buf[:n]
		p.lineStart, p.scanned, p.eventStart = p.lineStart-p.eventStart, p.scanned-p.eventStart, 0
	}
	if len(p.buf)+len(b) > 2*maxEventBytes {
		return errEventTooLong
	}
	p.buf = append(p.buf, b...)
	return nil
}

// next returns the next complete event with its blank line, valid until the next feed; ok is false when more
// bytes are needed.
func (p *eventParser) next() (event []byte, ok bool) {
	for {
		n := bytes.IndexByte(p.buf[p.scanned:], '\n')
		if n < 0 {
			p.scanned = len(p.buf)
			return nil, false
		}
		line := bytes.TrimSuffix(p.buf[p.lineStart:p.scanned+n], []byte{'\r'})
		p.scanned += n + 1
		p.lineStart = p.scanned
		if len(line) == 0 {
			event = p.buf[p.eventStart:p.scanned]
			p.eventStart = p.scanned
			return event, true
		}
	}
}

// data returns the joined data lines of an event; hasData is false for comments and blank lines.
func eventData(event []byte) (data []byte, hasData bool) {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		rest, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || (len(rest) > 0 && rest[0] != ':') {
			continue
		}
		rest = bytes.TrimPrefix(bytes.TrimPrefix(rest, []byte{':'}), []byte{' '})
		if !hasData {
			data, hasData = rest, true
			continue
		}
		data = append(append(bytes.Clone(data), '\n'), rest...)
	}
	return data, hasData
}

// chunk is the part of a chat completion chunk that a continuation depends on.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// progress is what the caller has received of a streamed answer, over all attempts.
type streamProgress struct {
	tokens int
	text   []byte
	// fixed is set when the rest cannot be asked for, because the part so far is more than text of one choice.
	notResumable bool
	started      bool // some event was delivered
	resumed      bool // the current attempt is a continuation
	finished     bool // the finish reason was delivered
	done         bool // [DONE] was delivered
}

// errEngine says that the engine reported an error within the stream.
var errEngineReported = errors.New("the engine reported an error within its answer")

// take counts an event and reports whether to deliver it. Each event with text counts as one token.
func (p *streamProgress) record(event []byte) (deliver bool, err error) {
	data, ok := eventData(event)
	switch {
	case !ok:
		return p.started && !p.done, nil
	case p.done:
		return false, nil
	case string(data) == "[DONE]":
		p.done = true
		return true, nil
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		p.notResumable, p.started = true, true
		return true, nil
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return false, errEngineReported
	}
	text, keep := false, !p.resumed
	for i := range c.Choices {
		ch := &c.Choices[i]
		if ch.Index > 0 || (len(ch.Delta.ToolCalls) > 0 && string(ch.Delta.ToolCalls) != "null") {
			p.notResumable, keep = true, true
		}
		if ch.Delta.Content != "" {
			text = true
			p.text = append(p.text, ch.Delta.Content...)
		}
		p.finished = p.finished || ch.FinishReason != nil
		keep = keep || ch.FinishReason != nil
	}
	if text {
		p.tokens++
	}
	// A continuation begins with its role again, which the caller already has; a chunk without choices is the
	// usage of the whole answer.
	keep = keep || text || len(c.Choices) == 0
	p.started = p.started || keep
	return keep, nil
}

func (p *streamProgress) resumable() bool { return p.started && !p.notResumable && !p.finished }
