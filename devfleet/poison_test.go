package devfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/fakeengine"
)

// contentOf returns the text of a stream and whether the stream is whole.
func parseStream(stream string) (text string, whole bool) {
	for line := range strings.SplitSeq(stream, "\n") {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, strings.HasSuffix(stream, "data: [DONE]\n\n") && !strings.Contains(stream, `"error"`)
}

// Guards against a third engine that one poison request crashes, and against innocent requests beside it that get a
// wrong answer or none: callers of two routers resend the poison at once and again while others chat.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if s, err := strconv.ParseUint(os.Getenv("POISON_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("seed %d (set POISON_SEED to repeat)", seed)
	const tokens = 20
	f := newTestFleet(t, 5, 2, fakeengine.Config{
		Tokens: tokens, FirstToken: 10 * time.Millisecond, TokenGap: 4 * time.Millisecond,
		RestartTime: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	end := time.Now().Add(4 * time.Second)
	var wg sync.WaitGroup
	var innocent, limited, poisoned atomic.Int64
	for client := range 10 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for turn := 0; time.Now().Before(end); turn++ {
				prompt := fmt.Sprintf("wool %d of %d", turn, client)
				status, stream, err := f.sendPrompt(ctx, rng.IntN(2), fmt.Sprintf("chat-%d", client), prompt)
				text, whole := parseStream(stream)
				switch {
				case err != nil:
					assert.Check(t, err)
				case status == http.StatusServiceUnavailable && strings.Contains(stream, `"overloaded"`):
					limited.Add(1) // cold engines refuse; that is admission, not loss
				default:
					assert.Check(t, status == http.StatusOK && whole && text == fakeengine.Text(prompt, 0, tokens),
						"status %d: %s", status, stream)
					innocent.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // the innocent traffic has warmed the engines
	for caller := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(100+caller)))
			for time.Now().Before(end) {
				status, stream, err := f.sendPrompt(ctx, caller, "poisoned", "<crash> now")
				assert.Check(t, err)
				assert.Check(t, status != http.StatusOK || !strings.HasSuffix(stream, "[DONE]\n\n"), "%s", stream)
				if status == http.StatusUnprocessableEntity {
					poisoned.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	t.Logf("%d engines crashed, %d innocent answers, %d refused by admission, %d poison requests refused", crashes,
		innocent.Load(), limited.Load(), poisoned.Load())
	assert.Assert(t, crashes >= 1 && crashes <= 2, "%d engines crashed", crashes)
	assert.Assert(t, innocent.Load() > 100)
	assert.Assert(t, poisoned.Load() > 0)
}
