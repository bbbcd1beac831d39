package applier

// maxAuditRecords limits the audit log; at 2,000 changes a day it covers 50 days.
const maxAuditRecords = 100_000

// AuditRecord is one entry of the audit log.
type AuditRecord struct {
	Number uint64 `json:"number"`
	Index  uint64 `json:"index"`
	// Time is the state clock in Unix milliseconds.
	Time   int64  `json:"time"`
	Actor  string `json:"actor"`
	Team   string `json:"team,omitempty"`
	Action string `json:"action"`
	Target string `json:"target"`
	Detail string `json:"detail,omitempty"`
}

func (a *Applier) appendAudit(action, target, detail string) error {
	r := AuditRecord{
		Index: a.meta.Index, Time: a.meta.Time, Actor: a.command.Actor, Action: action, Target: target, Detail: detail,
	}
	k, err := get[Key](a.w, tableKeys, r.Actor)
	if err != nil {
		return err
	}
	if k != nil {
		r.Team = k.Team
	}
	a.meta.Audit++
	r.Number = a.meta.Audit
	if r.Number > maxAuditRecords {
		if err := a.w.Delete(tableAudit, numericKey(r.Number-maxAuditRecords)); err != nil {
			return err
		}
	}
	return put(a.w, tableAudit, numericKey(r.Number), &r)
}

func (a *Applier) recordAuditEvent(c *RecordAuditEvent) error {
	if err := a.authorizeFleet(RoleOperator); err != nil {
		return err
	}
	return a.appendAudit(c.Action, c.Target, "")
}
