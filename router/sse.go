package router

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxEventBytes limits the size of an event; a chat completion chunk has a few hundred bytes.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event exceeds 1 MiB")

// eventParser splits a stream of server-sent events at blank lines. Lines end with LF or CRLF. The standard also allows
// CR, but no engine uses it and it would require lookahead across chunk boundaries.
type eventParser struct {
	buf        []byte
	eventStart int // offset of the current event in buf
	lineStart  int // offset of the current line in buf
	scanned    int // number of bytes of buf that were searched for line ends
}

// feed appends b to the stream and invalidates the events returned by next; b may be reused afterwards.
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

// next returns the next complete event including its blank line, valid until the next call of feed; ok is false if more
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

// eventData returns the joined data lines of an event; hasData is false if it has none, such as a comment.
func eventData(event []byte) (data []byte, hasData bool) {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		value, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || (len(value) > 0 && value[0] != ':') {
			continue
		}
		value = bytes.TrimPrefix(bytes.TrimPrefix(value, []byte{':'}), []byte{' '})
		if !hasData {
			data, hasData = value, true
			continue
		}
		data = append(append(bytes.Clone(data), '\n'), value...)
	}
	return data, hasData
}

// isComment reports whether an event has comment lines only.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		if line = bytes.TrimSuffix(line, []byte{'\r'}); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// chunk contains the fields of a chat completion chunk that are needed to resume a response.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
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

// streamProgress is the part of a streamed response that the caller has received, over all attempts.
type streamProgress struct {
	tokens int
	text   []byte
	// notResumable is set if the delivered part contains more than the text of one choice.
	notResumable bool
	started      bool // an event was delivered
	resumed      bool // the current attempt resumes the response
	finished     bool // the finish reason was delivered
	done         bool // [DONE] was delivered
}

// errEngineReported means that the stream contains an error of the engine.
var errEngineReported = errors.New("engine reported an error within its response")

// errNotContinued means that an endpoint that was to resume a stream sent something else.
var errNotContinued = errors.New("response does not continue the stream")

// record adds an event to the progress and reports whether to deliver it. Each event with text counts as one token.
func (p *streamProgress) record(event []byte) (deliver bool, err error) {
	data, ok := eventData(event)
	switch {
	case !ok && p.resumed && !p.done && !isComment(event):
		return false, errNotContinued
	case !ok:
		return p.started && !p.done, nil
	case p.done:
		return false, nil
	case string(data) == "[DONE]":
		p.done = true
		return true, nil
	}
	var c chunk
	isChunk := json.Unmarshal(data, &c) == nil
	hasContent := len(c.Choices) > 0 || len(c.Usage) > 0 || len(c.Error) > 0
	if p.resumed && (!isChunk || !hasContent) {
		return false, errNotContinued
	}
	if !isChunk {
		p.notResumable, p.started = true, true
		return true, nil
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return false, errEngineReported
	}
	hasText, needed := false, !p.resumed
	for i := range c.Choices {
		choice := &c.Choices[i]
		if choice.Index > 0 || (len(choice.Delta.ToolCalls) > 0 && string(choice.Delta.ToolCalls) != "null") {
			p.notResumable, needed = true, true
		}
		if choice.Delta.Content != "" {
			hasText = true
			p.text = append(p.text, choice.Delta.Content...)
		}
		p.finished = p.finished || choice.FinishReason != nil
		needed = needed || choice.FinishReason != nil
	}
	if hasText {
		p.tokens++
	}
	// A resumed response starts with the role again, which the caller already has. A chunk without choices contains the
	// usage of the complete response.
	needed = needed || hasText || len(c.Choices) == 0
	p.started = p.started || needed
	return needed, nil
}

func (p *streamProgress) resumable() bool { return p.started && !p.notResumable && !p.finished }
