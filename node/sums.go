package node

import (
	"maps"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/chooser"
)

// sumAggregations is the number of aggregations of loads for one aggregation of named sums, which change less often.
const sumAggregations = 4

func (r *routingState) ownSums() exchanger.Sums {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.chooser.OwnSums())
}

func (r *routingState) setTotalSums(sums exchanger.Sums) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.SetTotalSums(time.Now(), sums)
}

// logDecisions logs the changes of decisions under load since the last call.
func (f *fleet) logDecisions() {
	var events []chooser.Event
	var dropped int
	f.routing.withChooser(func(c *chooser.Chooser) { events, dropped = c.TakeEvents() })
	for _, e := range events {
		f.log.event(e.Message, e.Fields...)
	}
	if dropped > 0 {
		f.log.event("decisions not logged", "count", dropped)
	}
}

// SumsReceived implements exchanger.Source.
func (f *fleet) SumsReceived(from exchanger.Contact, sums exchanger.Sums) {
	f.recordReported(from, func(r *reported) { r.sums = sums })
}

// Sums implements exchanger.Source.
func (f *fleet) Sums(to exchanger.Contact) exchanger.Sums {
	return f.totalSums.Get(to.Eligible, f.mergeSums)
}

func (f *fleet) mergeSums(isOwn bool) (total exchanger.Sums) {
	add := func(sums exchanger.Sums) {
		if sums != nil && total == nil {
			total = exchanger.Sums{}
		}
		total.Add(sums)
	}
	add(f.routing.ownSums())
	f.eachReported(isOwn, func(r *reported) { add(r.sums) })
	return total
}

// SumsDropped implements exchanger.Source.
func (f *fleet) SumsDropped(n int) {
	f.routing.withChooser(func(c *chooser.Chooser) { c.RecordSumsDropped(n) })
}

// SumsReceived implements exchanger.Receiver.
func (r *receiver) SumsReceived(sums exchanger.Sums) {
	r.record(func() { r.fleet.routing.setTotalSums(sums) }, func(r *reported) { r.sums = sums })
}

// Sums implements exchanger.Receiver.
func (r *receiver) Sums() exchanger.Sums {
	if r.isPeer || !r.isActive() {
		return nil
	}
	return r.fleet.routing.ownSums()
}
