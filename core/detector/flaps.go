package detector

const (
	// flapThreshold is the number of losses within flapWindowMillis after which an endpoint is damped. A rolling
	// restart causes one loss, a process that crashes at start causes one every few seconds.
	flapThreshold    = 4
	flapWindowMillis = 60_000
	// initialDampMillis is the first damping time; it doubles with each further loss up to maxDampMillis.
	initialDampMillis = 30_000
	maxDampMillis     = 300_000
)

// FlapHistory records the recent losses of an endpoint. Times are Unix milliseconds of the replicated state's clock.
// The field names are part of the stored state.
type FlapHistory struct {
	Losses []int64
	Until  int64 // end of the damping; 0 if not damped
	Length int64 // duration of the last damping in milliseconds
}

// RecordLoss records a loss and reports whether the endpoint should be damped until f.Until.
func (f *FlapHistory) RecordLoss(now int64) bool {
	f.trimLosses(now)
	f.Losses = append(f.Losses, now)
	if len(f.Losses) < flapThreshold {
		return false
	}
	f.Losses = f.Losses[len(f.Losses)-flapThreshold:]
	f.Length = min(max(2*f.Length, initialDampMillis), maxDampMillis)
	f.Until = now + f.Length
	return true
}

// ExpireDamping ends the damping if its time is over and reports whether it did.
func (f *FlapHistory) ExpireDamping(now int64) bool {
	if f.Until == 0 || now < f.Until {
		return false
	}
	f.Until = 0
	f.trimLosses(now)
	if len(f.Losses) == 0 {
		f.Length = 0
	}
	return true
}

func (f *FlapHistory) trimLosses(now int64) {
	i := 0
	for i < len(f.Losses) && f.Losses[i] <= now-flapWindowMillis {
		i++
	}
	f.Losses = f.Losses[i:]
}
