package applier

import (
	"slices"
	"time"

	"cactusroute.dev/core/viewer"
)

const (
	verdictTTLMillis = 10 * 60 * 1000
	// crashThreshold is the number of crashes from which a suspect is convicted as a poison request.
	crashThreshold = 2
	// maxVerdicts limits the memory use of routers and agents; further suspects are not recorded.
	maxVerdicts = 10_000
	maxSuspects = 4096
)

// VerdictRecord is the record of a suspect or poison fingerprint.
type VerdictRecord struct {
	Fingerprint string   `json:"fingerprint"`
	Crashes     int      `json:"crashes"`
	Convicted   bool     `json:"convicted"`
	Until       int64    `json:"until"` // Unix milliseconds
	ReportIDs   []string `json:"-" cbor:"reports"`
}

// ReportCrash lists the fingerprints in flight at an engine crash, and the suspects that have completed since.
type ReportCrash struct {
	// ReportID identifies the crash, so that a retry after a lost response is counted once.
	ReportID string   `cbor:"1,keyasint"`
	Endpoint string   `cbor:"2,keyasint"`
	Suspects []string `cbor:"3,keyasint,omitempty"`
	Cleared  []string `cbor:"4,keyasint,omitempty"`
}

// RemoveVerdict removes the verdict on a fingerprint.
type RemoveVerdict struct {
	Fingerprint string `cbor:"1,keyasint"`
}

func (a *Applier) putVerdict(v *VerdictRecord) error {
	a.recordChange(viewer.Change{Verdict: &viewer.Verdict{
		Fingerprint: v.Fingerprint, Crashes: v.Crashes, Convicted: v.Convicted, Until: time.UnixMilli(v.Until).UTC(),
	}})
	return put(a.w, tableVerdicts, v.Fingerprint, v)
}

func (a *Applier) deleteVerdict(fingerprint string) error {
	a.recordChange(viewer.Change{Removal: &viewer.Removal{Kind: viewer.KindVerdict, Key: fingerprint}})
	return a.w.Delete(tableVerdicts, fingerprint)
}

func (a *Applier) reportCrash(c *ReportCrash) error {
	if len(c.Suspects) > maxSuspects || len(c.Cleared) > maxSuspects || c.ReportID == "" {
		return refuse(CodeInvalid, "crash report must have an ID and at most %d fingerprints per list", maxSuspects)
	}
	for _, f := range c.Suspects {
		v, err := get[VerdictRecord](a.w, tableVerdicts, f)
		if err != nil {
			return err
		}
		if v == nil {
			if f == "" || len(f) > maxNameBytes || len(a.view.Verdicts) >= maxVerdicts {
				continue
			}
			v = &VerdictRecord{Fingerprint: f}
		}
		if slices.Contains(v.ReportIDs, c.ReportID) {
			continue
		}
		v.Crashes++
		v.Convicted = v.Crashes >= crashThreshold
		v.Until = a.meta.Time + verdictTTLMillis
		v.ReportIDs = append(v.ReportIDs, c.ReportID)
		if len(v.ReportIDs) > 2*crashThreshold {
			v.ReportIDs = v.ReportIDs[1:]
		}
		if err := a.putVerdict(v); err != nil {
			return err
		}
	}
	for _, f := range c.Cleared {
		v, err := get[VerdictRecord](a.w, tableVerdicts, f)
		if err != nil {
			return err
		}
		if v != nil && !v.Convicted && !slices.Contains(v.ReportIDs, c.ReportID) {
			if err := a.deleteVerdict(f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Applier) removeVerdict(c *RemoveVerdict) error {
	if err := a.authorizeFleet(RoleOperator); err != nil {
		return err
	}
	v, err := get[VerdictRecord](a.w, tableVerdicts, c.Fingerprint)
	if err != nil || v == nil {
		return err
	}
	if err := a.deleteVerdict(c.Fingerprint); err != nil {
		return err
	}
	return a.appendAudit("remove verdict", c.Fingerprint, "")
}

func (a *Applier) expireVerdicts() error {
	list, err := getAll[VerdictRecord](a.w, tableVerdicts, "")
	if err != nil {
		return err
	}
	for i := range list {
		if list[i].Until <= a.meta.Time {
			if err := a.deleteVerdict(list[i].Fingerprint); err != nil {
				return err
			}
		}
	}
	return nil
}
