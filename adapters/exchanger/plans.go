package exchanger

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"cactusroute.dev/core/fleetapplier"
)

// planCompressor compresses each version of the plan once for all subscribers; plans are text and shrink to a tenth.
type planCompressor struct {
	mu         sync.Mutex
	version    uint64
	compressed []byte
}

func (p *planCompressor) compress(plan *fleetapplier.EncodedPlan) (compressed []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compress plan %d: %w", plan.Version, err)
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compressed != nil && p.version == plan.Version {
		return p.compressed, nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plan.Content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.version, p.compressed = plan.Version, buf.Bytes()
	return p.compressed, nil
}

var errPlanTooLarge = errors.New("plan exceeds the maximum message size")

// decompressPlan returns the plan of a state message, or nil if it has none.
func decompressPlan(m *stateMessage) (plan *fleetapplier.EncodedPlan, err error) {
	if len(m.Plan) == 0 {
		return nil, nil
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("decompress plan %d: %w", m.Version, err)
		}
	}()
	r := flate.NewReader(bytes.NewReader(m.Plan))
	defer func() { err = errors.Join(err, r.Close()) }()
	content, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxMessageBytes {
		return nil, errPlanTooLarge
	}
	return &fleetapplier.EncodedPlan{Version: m.Version, Content: content}, nil
}
