package measurer

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"cactusroute.dev/adapters/sleeper"
)

const (
	sampleInterval  = 100 * time.Millisecond
	loadBoundFactor = 1.25
)

// engineStats are the counters of a fake engine.
type engineStats struct {
	Requests     int `json:"requests"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	InFlight     int `json:"inFlight"`
	Overloads    int `json:"overloads"`
	Crashes      int `json:"crashes"`
	Completions  int `json:"completions"`
}

func (e *endpoint) stats(ctx context.Context) (s engineStats, err error) {
	err = getJSON(ctx, "http://"+e.address+"/fake/v1/stats", &s)
	return s, err
}

// loadSample is the load of the engines at a point in time; engines that did not respond are omitted.
type loadSample struct {
	at       time.Duration
	inFlight []int
}

// skew returns the highest load divided by the mean load.
func (s *loadSample) skew() float64 {
	highest, mean := s.maxAndMean()
	if mean == 0 {
		return 1
	}
	return float64(highest) / mean
}

// excess returns the number of requests by which the most loaded engine exceeds the load bound.
func (s *loadSample) excess() int {
	highest, mean := s.maxAndMean()
	return max(0, highest-max(1, int(math.Ceil(loadBoundFactor*mean))))
}

// growthAboveBound returns the number of requests that were added to engines above the load bounds of this sample and
// the previous one. An engine that exceeds the bound only because requests of other engines ended does not count.
func (s *loadSample) growthAboveBound(before *loadSample) (n int) {
	if len(s.inFlight) != len(before.inFlight) {
		return 0
	}
	_, mean := s.maxAndMean()
	_, meanBefore := before.maxAndMean()
	bound := max(1, int(math.Ceil(loadBoundFactor*max(mean, meanBefore))))
	for i, after := range s.inFlight {
		n += max(0, after-max(bound, before.inFlight[i]))
	}
	return n
}

func (s *loadSample) maxAndMean() (highest int, mean float64) {
	for _, n := range s.inFlight {
		highest = max(highest, n)
		mean += float64(n)
	}
	return highest, mean / float64(max(1, len(s.inFlight)))
}

// loadSampler periodically samples the load of the engines.
type loadSampler struct {
	mu      sync.Mutex
	samples []loadSample
}

func (ls *loadSampler) run(ctx context.Context, w *workload) {
	for ctx.Err() == nil {
		s := loadSample{at: w.elapsed()}
		loads := make([]int, len(w.fleet.engines))
		var wg sync.WaitGroup
		for i, e := range w.fleet.engines {
			wg.Go(func() {
				loads[i] = -1
				if st, err := e.stats(ctx); err == nil {
					loads[i] = st.InFlight
				}
			})
		}
		wg.Wait()
		for _, n := range loads {
			if n >= 0 {
				s.inFlight = append(s.inFlight, n)
			}
		}
		ls.mu.Lock()
		ls.samples = append(ls.samples, s)
		ls.mu.Unlock()
		sleeper.Pause(ctx, sampleInterval)
	}
}

// scrape reads the metrics of a process and returns the sum of the counters and gauges of each metric family.
func scrape(ctx context.Context, addr string) (sums map[string]float64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scrape %s: %w", addr, err)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, err
	}
	sums = map[string]float64{}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			sums[name] += metricValue(m)
		}
	}
	return sums, nil
}

func metricValue(m *dto.Metric) float64 {
	switch {
	case m.GetCounter() != nil:
		return m.GetCounter().GetValue()
	case m.GetGauge() != nil:
		return m.GetGauge().GetValue()
	default:
		return 0
	}
}

// controlBytes returns the number of bytes that a process has exchanged with control instances.
func controlBytes(metrics map[string]float64) (n float64) {
	for name, v := range metrics {
		if strings.Contains(name, "control") && strings.Contains(name, "bytes") {
			n += v
		}
	}
	return n
}
