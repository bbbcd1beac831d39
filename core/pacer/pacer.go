package pacer

import (
	"math"
	"time"
)

const (
	// paceWindow is the time constant with which a stated pace loses its weight: it changes many times a second.
	paceWindow = 100 * time.Millisecond

	// usualWindow is the time constant of the average of stated paces, to which an old pace regresses.
	usualWindow = 2 * time.Second

	// usualRetention is the time constant with which that average regresses to the usual pace without new statements.
	usualRetention = 4 * time.Second

	// maxFactor bounds what a single statement, a single response and the estimate may differ from the usual.
	maxFactor = 4

	// maxStated is far above the pace of any endpoint that still works.
	maxStated = 1000

	// minTimeWeight is the least weight of a response in the average of times.
	minTimeWeight = 0.03

	// priorTimes is the number of responses of usual duration that the average begins with: a few slow responses are no
	// evidence of a slow endpoint.
	priorTimes = 4
)

// Estimate is what is known of the speed of one endpoint; the zero value is an endpoint as fast as its peers.
type Estimate struct {
	pace    float64 // logarithm of the last stated pace
	paceAt  time.Time
	usual   float64 // average of those logarithms
	lasting float64 // average logarithm of measured times relative to the peers'
	times   float64 // responses in that average
}

// RecordPace records how long work takes at the endpoint now relative to its usual time, as the endpoint states it. A
// pace that is no positive number up to maxStated is ignored.
func (e *Estimate) RecordPace(now time.Time, pace float64) {
	if !(pace > 0 && pace <= maxStated) {
		return
	}
	l := boundedLog(pace)
	if !e.paceAt.IsZero() {
		e.usual = e.usualPace(now)
		e.usual += (l - e.usual) * (1 - decay(now.Sub(e.paceAt), usualWindow))
	}
	e.pace, e.paceAt = l, now
}

// RecordTime records the measured time of a response relative to what its peers take for such work at such a load.
func (e *Estimate) RecordTime(now time.Time, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	// What the endpoint has stated for the present is not its lasting speed.
	l := boundedLog(ratio) - e.presentPace(now)
	e.times++
	e.lasting += (l - e.lasting) * max(minTimeWeight, 1/(e.times+priorTimes))
}

// Factor returns how long work is expected to take relative to the peers at their usual pace.
func (e *Estimate) Factor(now time.Time) float64 {
	if e.times == 0 && e.paceAt.IsZero() {
		return 1
	}
	return min(maxFactor, max(1.0/maxFactor, math.Exp(e.lasting+e.presentPace(now))))
}

// Lasting returns how long work takes relative to the peers, by measured times only.
func (e *Estimate) Lasting() float64 { return math.Exp(e.lasting) }

// presentPace returns the expected logarithm of the pace: the older the last statement, the less it differs from the
// average.
func (e *Estimate) presentPace(now time.Time) float64 {
	if e.paceAt.IsZero() {
		return 0
	}
	usual := e.usualPace(now)
	return usual + (e.pace-usual)*decay(now.Sub(e.paceAt), paceWindow)
}

func (e *Estimate) usualPace(now time.Time) float64 {
	return e.usual * decay(now.Sub(e.paceAt), usualRetention)
}

func decay(age, window time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / window.Seconds())
}

func boundedLog(factor float64) float64 {
	return math.Log(min(maxFactor, max(1.0/maxFactor, factor)))
}
