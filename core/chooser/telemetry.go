package chooser

import (
	"time"

	"cactusroute.dev/core/summer"
)

// maxPendingEvents bounds the events that wait to be logged.
const maxPendingEvents = 64

// Event is a change of a decision under load, to be logged; Fields holds keys and values.
type Event struct {
	Message string
	Fields  []any
}

// Gauge is a figure of a decision under load, to be exposed as a metric.
type Gauge struct {
	Decision string // as in planner.LoadPolicyNames
	Name     string
	Subject  string // a service, workspace, failure domain or endpoint
	Value    float64
}

// addEvent records a change of a decision; beyond maxPendingEvents, it is only counted.
func (c *Chooser) addEvent(message string, fields ...any) {
	if len(c.events) >= maxPendingEvents {
		c.droppedEvents++
		return
	}
	c.events = append(c.events, Event{Message: message, Fields: fields})
}

// TakeEvents returns the changes of decisions since the last call, and how many more there were.
func (c *Chooser) TakeEvents() (events []Event, dropped int) {
	events, dropped = c.events, c.droppedEvents
	c.events, c.droppedEvents = nil, 0
	return events, dropped
}

// RecordSumsDropped records that n keys were left out of a message with the sums of all routers.
func (c *Chooser) RecordSumsDropped(n int) {
	c.sumsDropped += n
	c.addEvent("named sums left out of a message", "keys", n, "max", summer.MaxKeys)
}

// Gauges returns the figures of the decisions under load that are in force.
func (c *Chooser) Gauges(now time.Time) (list []Gauge) {
	if age, ok := c.ledger.Age(now); ok {
		list = append(list, Gauge{Decision: "sums", Name: "ageSeconds", Value: age.Seconds()})
	}
	if c.sumsDropped > 0 {
		list = append(list, Gauge{Decision: "sums", Name: "keysLeftOut", Value: float64(c.sumsDropped)})
	}
	list = append(list, c.domainGauges()...)
	list = append(list, c.reachGauges()...)
	list = append(list, c.copyGauges()...)
	return c.queueGauges(c.paceGauges(c.shareGauges(list)))
}
