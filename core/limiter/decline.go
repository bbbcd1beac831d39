package limiter

import "time"

// maxUnverifiedDecline bounds how long a Decline holds for an endpoint whose restarts are not detected.
const maxUnverifiedDecline = 30 * time.Second

// Decline is what one process of the endpoint has told about itself: that it leaves, or that it wants no requests for
// some time. The zero value declines nothing.
type Decline struct {
	start      int64     // start time of the process; 0 if restarts are not detected
	until      time.Time // of the quiet time
	leavesTill time.Time // zero unless it leaves
	isLeaving  bool
}

// RecordLeaving records that the process with a start time leaves, and reports whether that is new.
func (d *Decline) RecordLeaving(now time.Time, start int64) (isNew bool) {
	if !d.isOf(start) {
		return false
	}
	leaving, _ := d.Status(now, start)
	d.isLeaving = true
	if start == 0 {
		d.leavesTill = now.Add(maxUnverifiedDecline)
	}
	return !leaving
}

// RecordQuiet records that the process with a start time wants no requests for some time, and reports whether that is
// new. A shorter time does not replace a longer one.
func (d *Decline) RecordQuiet(now time.Time, start int64, quiet time.Duration) (isNew bool) {
	if quiet <= 0 || !d.isOf(start) {
		return false
	}
	if start == 0 {
		quiet = min(quiet, maxUnverifiedDecline)
	}
	isNew = !now.Before(d.until)
	if until := now.Add(min(quiet, maxQuiet)); until.After(d.until) {
		d.until = until
	}
	return isNew
}

// maxQuiet is longer than any process runs and does not overflow a time.Duration.
const maxQuiet = 100 * 365 * 24 * time.Hour

// isOf prepares the record for a process; it returns false if a later one is known.
func (d *Decline) isOf(start int64) bool {
	if start > d.start {
		*d = Decline{start: start}
	}
	return start == d.start
}

// Status returns whether the running process leaves, and how much longer it wants no requests.
func (d *Decline) Status(now time.Time, start int64) (isLeaving bool, quiet time.Duration) {
	if start != d.start {
		return false, 0
	}
	isLeaving = d.isLeaving && (start != 0 || now.Before(d.leavesTill))
	return isLeaving, max(0, d.until.Sub(now))
}
