package chooser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/queuer"
)

const (
	// demandWindow is the time constant of the averages of requests.
	demandWindow = 4 * time.Second

	// growthWindow is the time constant of the average that shows a growing rate before the loads do.
	growthWindow = time.Second

	// minCountSpan is the shortest time over which a rate is computed.
	minCountSpan = 100 * time.Millisecond

	// boundDeviations is the number of standard deviations by which the target of a load is below the load bound.
	boundDeviations = 2.4

	// slotFraction is the fraction of its slots up to which an endpoint is filled. A few requests may wait for a slot.
	slotFraction = 0.97

	// wantedWindow is the time over which the requests for an endpoint are counted.
	wantedWindow = 500 * time.Millisecond

	// demandPrior is the number of requests that is added to a router's own counts, which are small.
	demandPrior = 10

	// initialHoldTime is the assumed duration of a request until some have ended.
	initialHoldTime = 300 * time.Millisecond

	// holdTimeWeight is the weight of the last request in the average duration.
	holdTimeWeight = 0.05

	// reportHops is the number of reports after which a request of one router is included in the loads that another one
	// knows: the router's own, that of its control instance and that of the other router's.
	reportHops = 3

	// reportIntervalWeight is the weight of the last interval in the average time between two reports.
	reportIntervalWeight = 0.1
)

// decayingCount counts events; older ones lose weight with the time constant window, the same one in all calls.
type decayingCount struct {
	value float64
	at    time.Time
}

func (d *decayingCount) get(now time.Time, window time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/window.Seconds())
}

func (d *decayingCount) add(now time.Time, window time.Duration) { d.addWork(now, window, 1) }

// addWork counts an event by its work.
func (d *decayingCount) addWork(now time.Time, window time.Duration, work float64) {
	d.value, d.at = d.get(now, window)+work, now
}

// inProgress returns the requests in progress that the counted work in seconds causes.
func (d *decayingCount) inProgress(now time.Time, window time.Duration) float64 {
	return d.get(now, window) / window.Seconds()
}

// effectiveWindow returns the seconds that a decayingCount covers if events are counted since a time span.
func effectiveWindow(window, span time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-max(minCountSpan, span).Seconds()/window.Seconds()))
}

// target returns the load up to which an endpoint with an admission limit is filled.
func (f *forecast) target(admissionLimit, loadBound float64) float64 {
	if f.isExact {
		return min(admissionLimit, loadBound)
	}
	return min(slotFraction*admissionLimit, fillTarget(loadBound))
}

// fillTarget returns the mean load that is boundDeviations standard deviations of random arrivals below the bound.
func fillTarget(bound float64) float64 { return loadBelow(bound, boundDeviations) }

// loadBelow returns the mean load that is a number of standard deviations of random arrivals below the bound.
func loadBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}

// forecast is what a router expects of all routers until the loads that it knows include their present requests. If all
// of them filled the room that an old report shows, many times as many requests would arrive as fit.
type forecast struct {
	// isExact is set if no other router sends requests, or nothing is known of the others.
	isExact bool
	// remaining is the fraction of the known requests that is still in flight after the delay of the reports.
	remaining float64
	// ratePerRequest is the rate of requests that adds one request in flight after that delay.
	ratePerRequest float64
	// rate is the rate of all requests, including those that are refused at present.
	rate float64
	// attempts is the recent number of requests of this router, including refused ones.
	attempts float64
	// surplus is the rate of the requests that the endpoints considered so far do not accept; acceptFirst and acceptOther
	// update it.
	surplus float64
}

// newForecast returns the forecast for a pool with a total load.
func (c *Chooser) newForecast(now time.Time, p *pool, totalLoad int) forecast {
	var f forecast
	if c.routers <= 1 || now.Sub(c.remoteAt) > remoteLoadTTL || c.reportInterval <= 0 {
		f.isExact = true
		return f
	}
	hold := p.hold()
	waiting := c.waiting(now, p, queuer.Classes-1)
	if waiting > 0 && p.work.seconds > 0 {
		hold = p.work.seconds * max(1, float64(totalLoad)/float64(max(1, p.slots)))
	}
	delay := reportHops * c.reportInterval.Seconds()
	f.remaining = math.Exp(-delay / hold)
	f.ratePerRequest = 1 / (hold * (1 - f.remaining))
	accepted := max(1, p.accepted.get(now, demandWindow))
	f.attempts = max(1, p.attempts.get(now, demandWindow))
	span := now.Sub(p.firstAt)
	growth := p.recent.get(now, growthWindow) / effectiveWindow(growthWindow, span) /
		(f.attempts / effectiveWindow(demandWindow, span))
	acceptedRate := max(float64(totalLoad)/hold, accepted/demandWindow.Seconds()*float64(c.routers))
	f.rate = acceptedRate * f.attempts / accepted * max(1, growth)
	if waiting > 0 {
		f.rate = max(float64(totalLoad)/hold, c.triesPerSecond(now, p, c.waiting(now, p, p.queue.class)))
	}
	return f
}

// allowedRate returns the rate of requests after which the load of an endpoint reaches the limit.
func (f *forecast) allowedRate(load, limit float64) float64 {
	return max(0, (limit-load*f.remaining)*f.ratePerRequest)
}

// acceptFirst returns the fraction of the requests for which an endpoint ranks first that keeps its load below the
// limit and its rate below maxRate; wanted is their number within wantedWindow.
func (f *forecast) acceptFirst(load, limit, wanted, maxRate float64) float64 {
	switch {
	case f.isExact && load+1 > limit:
		return 0
	case f.isExact:
		return 1
	}
	rate := wanted / wantedWindow.Seconds()
	allowed := min(maxRate, f.allowedRate(load, limit))
	f.surplus = max(0, rate-allowed)
	return fraction(allowed, rate)
}

// acceptOther is acceptFirst for requests that endpoints of a higher rank did not accept; attempts is the recent number
// of such requests of this router. All that the first endpoint does not accept are expected here, because the routers
// do not know each other's attempts yet.
func (f *forecast) acceptOther(load, limit, wanted, attempts, maxRate float64) float64 {
	if f.isExact {
		return f.acceptFirst(load, limit, wanted, maxRate)
	}
	left := max(0, min(maxRate, f.allowedRate(load, limit))-wanted/wantedWindow.Seconds())
	expected := max(f.surplus, f.rate*attempts/(f.attempts+demandPrior))
	f.surplus = max(0, f.surplus-left)
	return fraction(left, expected)
}

// fraction returns the part of the wanted requests that is allowed.
func fraction(allowed, wanted float64) float64 {
	if wanted <= allowed {
		return 1
	}
	return allowed / wanted
}

// candidate is an endpoint that may be selected by its load.
type candidate struct {
	endpoint    *endpoint
	rank        int
	load, limit float64
	weight      float64 // the loads divided by it are leveled
	maxRate     float64 // of requests
	rate        float64 // of the requests that it should receive
}

// pickByRoom selects an endpoint at random, so that the expected requests of all routers level the loads; nil means
// that the request exceeds the limits of all endpoints.
func pickByRoom(f *forecast, list []candidate, random float64) *candidate {
	if f.isExact {
		return &list[0]
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.load/a.weight, b.load/b.weight) })
	total := f.setRates(list)
	at := random * max(total, f.rate)
	for i := range list {
		if at -= list[i].rate; at < 0 {
			return &list[i]
		}
	}
	if total < f.rate {
		return nil
	}
	return &list[int(random*float64(len(list)))]
}

// setRates sets the rates with which the expected requests level the loads of candidates, which are sorted by load and
// weight, and returns their sum. What exceeds the rate that an endpoint takes goes to the others.
func (f *forecast) setRates(list []candidate) (total float64) {
	left := f.rate
	for i := range list {
		list[i].rate = -1 // not known yet
	}
	for isCapped := true; isCapped; {
		isCapped = false
		level := f.level(list, left)
		for i := range list {
			l := &list[i]
			if l.rate < 0 && l.maxRate < f.allowedRate(l.load, min(level*l.weight, l.limit)) {
				l.rate, isCapped = l.maxRate, true
				left = max(0, left-l.maxRate)
			}
		}
		if isCapped {
			continue
		}
		for i := range list {
			if l := &list[i]; l.rate < 0 {
				l.rate = f.allowedRate(l.load, min(level*l.weight, l.limit))
			}
		}
	}
	for i := range list {
		total += list[i].rate
	}
	return total
}

// level returns the load to which the endpoints without a known rate rise if they receive a rate of requests.
func (f *forecast) level(list []candidate, rate float64) (level float64) {
	left := rate / f.ratePerRequest
	sum, weights := 0.0, 0.0
	for i := range list {
		if list[i].rate >= 0 {
			continue
		}
		if weights > 0 && level <= list[i].load*f.remaining/list[i].weight {
			break
		}
		weights += list[i].weight
		sum += list[i].load * f.remaining
		level = (left + sum) / weights
	}
	return level
}

// sequence is a sequence of random numbers that depend only on the first one.
type sequence uint64

func newSequence(random float64) sequence { return sequence(math.Float64bits(random)) }

// next returns a number in [0, 1), by the SplitMix64 generator.
func (s *sequence) next() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
