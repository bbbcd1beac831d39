package chooser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// Guards against requests that wait for nothing, against the loss of a place that its caller does not take, and against
// a place that goes to the request that tried instead of the first one in the queue.
func TestQueueOfARouter(t *testing.T) {
	f := withSlots(newFleet(1, 1), 1)
	c := f.routers[0]
	c.SetPolicy(planner.LoadPolicy{Queues: true})
	service := &planner.Service{Name: "llm"}
	query := func(priority float64, left time.Duration) Query {
		return Query{Service: service, Priority: priority, TargetAt: start.Add(left), Deadline: start.Add(left),
			Waiter: &Waiter{}}
	}
	held := make([]Choice, 0, plainSlotFactor)
	for range plainSlotFactor {
		choice, reason := c.Choose(start, query(0, time.Second))
		assert.Equal(t, reason, Reason(""))
		held = append(held, choice)
	}
	c.RecordTime(start.Add(60*time.Millisecond), held[0])

	hopeless := query(0, 50*time.Millisecond)
	_, reason := c.Choose(start, hopeless)
	assert.Equal(t, reason, AllAtCapacity)
	assert.Assert(t, hopeless.Waiter.IsRefused)

	least, urgent := query(1, 2*time.Second), query(0, 2*time.Second)
	for _, q := range []Query{least, urgent} {
		_, reason = c.Choose(start, q)
		assert.Equal(t, reason, AllAtCapacity)
		assert.Assert(t, q.Waiter.HasJoined && !q.Waiter.IsRefused)
	}
	c.Done(start, held[0])
	_, reason = c.Choose(start, least)
	assert.Equal(t, reason, AllAtCapacity, "the place belongs to the urgent request")
	c.Leave(urgent.Waiter)
	_, reason = c.Choose(start, least)
	assert.Equal(t, reason, Reason(""), "the place was returned")
}
