package assembler

// Key names one attempt of one request.
type Key struct {
	// Request is the number that the receiver gave to the request; it is never used twice by one receiver.
	Request uint64
	// Attempt is the number of the attempt of that request.
	Attempt uint32
}

// Frame is a part of an answer.
type Frame struct {
	Key Key
	// Offset is the position of the first byte of Data in the answer, in bytes.
	Offset int64
	Data   []byte
}

// Verdict says what became of a frame.
type Result uint8

const (
	// Accepted means that the frame continued the answer; bytes that were already there were dropped.
	Accepted Result = iota
	// Repeated means that the answer already had every byte of the frame.
	Duplicate
	// Crossed means that the frame belongs to another request or attempt.
	KeyMismatch
	// Late means that the frame arrived after the answer was whole or closed.
	Late
	// Gap means that bytes before the frame are missing; the answer must be sent again from Offset.
	Gap
	// Overrun means that the frame reaches beyond the announced length of the answer.
	Overrun
)

// unknownTotal is the length of an answer whose end has not been announced.
const unknownTotal = -1

// Assembler accepts the frames of one attempt in the order of their offsets.
type Assembler struct {
	key    Key
	offset int64
	total  int64
	closed bool
}

// New returns an assembler that has no byte of the attempt's answer.
func New(key Key) *Assembler { return &Assembler{key: key, total: unknownTotal} }

// Accept returns the bytes of the frame that continue the answer; they are a part of f.Data.
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

// Finish announces the length of the whole answer in bytes. The verdict is Accepted when the answer is whole, and
// Gap when bytes are missing.
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

// Close drops every later frame.
func (a *Assembler) Close() { a.closed = true }

// Offset returns how many bytes of the answer are there, which is where a new connection has to continue.
func (a *Assembler) Offset() int64 { return a.offset }

// Whole says that the end was announced and every byte before it is there.
func (a *Assembler) IsComplete() bool { return a.total != unknownTotal && a.offset == a.total }
