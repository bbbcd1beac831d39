package assembler

// Key identifies one attempt of one request.
type Key struct {
	// Request is the number that the receiver assigned to the request; a receiver never reuses a number.
	Request uint64
	// Attempt is the number of the attempt within the request.
	Attempt uint32
}

// Frame is a part of a response.
type Frame struct {
	Key Key
	// Offset is the position of Data in the response, in bytes.
	Offset int64
	Data   []byte
}

// Result is the outcome of accepting a frame or the length of a response.
type Result uint8

const (
	// Accepted means that the frame extended the response; bytes received before were dropped.
	Accepted Result = iota
	// Duplicate means that every byte of the frame was received before.
	Duplicate
	// KeyMismatch means that the frame belongs to another request or attempt.
	KeyMismatch
	// Late means that the frame arrived after the response was complete or the assembler was closed.
	Late
	// Gap means that bytes are missing; the response must be sent again from Offset.
	Gap
	// Overrun means that the frame or the length is out of range, or contradicts what was received before.
	Overrun
)

// unknownTotal is the length of a response before Finish has set it.
const unknownTotal = -1

// Assembler reassembles the response to one attempt from frames in the order of their offsets.
type Assembler struct {
	key    Key
	offset int64
	total  int64
	closed bool
}

// New returns an assembler that has received no bytes.
func New(key Key) *Assembler { return &Assembler{key: key, total: unknownTotal} }

// Accept returns the bytes of the frame that extend the response; they alias f.Data.
func (a *Assembler) Accept(f Frame) ([]byte, Result) {
	end := f.Offset + int64(len(f.Data))
	switch {
	case f.Key != a.key:
		return nil, KeyMismatch
	case a.closed || a.IsComplete():
		return nil, Late
	case f.Offset < 0 || end < f.Offset:
		return nil, Overrun
	case f.Offset > a.offset:
		return nil, Gap
	case end <= a.offset:
		return nil, Duplicate
	case a.total != unknownTotal && end > a.total:
		return nil, Overrun
	}
	p := f.Data[a.offset-f.Offset:]
	a.offset = end
	return p, Accepted
}

// Finish sets the length of the complete response in bytes. It returns Accepted if the response is complete, and Gap
// if bytes are missing.
func (a *Assembler) Finish(key Key, total int64) Result {
	switch {
	case key != a.key:
		return KeyMismatch
	case a.closed:
		return Late
	case total < a.offset || a.total != unknownTotal && total != a.total:
		return Overrun
	}
	a.total = total
	if a.offset < total {
		return Gap
	}
	return Accepted
}

// Close makes the assembler drop all later frames.
func (a *Assembler) Close() { a.closed = true }

// Offset returns the number of bytes received, which is where a new connection has to resume.
func (a *Assembler) Offset() int64 { return a.offset }

// IsComplete reports whether the length is known and every byte was received.
func (a *Assembler) IsComplete() bool { return a.total != unknownTotal && a.offset == a.total }
