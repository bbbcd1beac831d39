package agent

import (
	"context"
	"time"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/viewer"
)

// Control is the client of the control instances; *subscriber.Client implements it.
type Control interface {
	Serve(ctx context.Context) error
	View() *viewer.View
	IsFresh(now time.Time) bool
	PoolLoad(pool string) subscriber.PoolLoad
	Incarnation() uint64
	SetLoad(l subscriber.Load)
	RecordOutcome(ctx context.Context, m subscriber.OperationOutcome) error
	ReportCrash(ctx context.Context, m subscriber.CrashReport) error
	AcquireLoadPermit(ctx context.Context) (release func(), err error)
	Leave(ctx context.Context) error
}
