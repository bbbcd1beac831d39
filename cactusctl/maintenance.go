package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/cactusctl/requester"
	"cactusroute.dev/core/applier"
)

func (a *app) operationCommand() *cli.Command {
	return commandGroup("operation", "inspect and resolve operations, which run at most once",
		a.localCommand("id", "print the operation id of an Idempotency-Key", "WORKSPACE SERVICE KEY", a.operationID),
		a.controlCommand("show", "show the claim of an operation", "ID", a.showOperation),
		a.controlCommand("resolve", "record the outcome of an operation whose outcome is unknown", "ID", a.resolveOperation,
			&cli.BoolFlag{Name: "not-run", Usage: "record that the operation did not run; it may run again"},
			&cli.IntFlag{Name: "status", Usage: "HTTP `STATUS` of the answer to return to callers"},
			&cli.StringFlag{Name: "type", Value: "application/json", Usage: "content `TYPE` of the answer"},
			&cli.StringFlag{Name: "body-file", Usage: "`FILE` with the body of the answer", TakesFile: true}),
	)
}

// operationID must match the router's computation: the SHA-256 digest of the digests of the three parts.
func (a *app) operationID(_ context.Context, c *invocation) error {
	h := sha256.New()
	for _, part := range c.Args().Slice() {
		sum := sha256.Sum256([]byte(part))
		_, _ = h.Write(sum[:])
	}
	type operationIdentity struct {
		ID string `json:"id"`
	}
	id := operationIdentity{ID: hex.EncodeToString(h.Sum(nil))}
	return a.printResult(c, id, "%s", id.ID)
}

func claimTable(r *applier.ClaimRecord) []*table {
	t := &table{}
	t.addRow(
		"OPERATION", "WORKSPACE", "STATE", "ENDPOINT", "INCARNATION", "GENERATION", "ANSWER", "EXPIRES", "RESOLVED BY")
	answer := ""
	if r.Answer != nil {
		answer = fmt.Sprintf("%d, %d bytes", r.Answer.Status, len(r.Answer.Body))
	}
	t.addRow(r.Operation, r.Workspace, r.State, r.Endpoint, r.Incarnation, r.Generation, answer, formatTime(r.Expires),
		r.ResolvedBy)
	return []*table{t}
}

func operationPath(id string) string { return "/admin/v1/operations/" + url.PathEscape(id) }

func (a *app) showOperation(ctx context.Context, c *invocation) error {
	raw, err := c.client.Read(ctx, operationPath(c.Args().First()))
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, claimTable)
}

type resolveRequest struct {
	NotRun bool   `json:"notRun"`
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   string `json:"body"`
}

func (a *app) resolveOperation(ctx context.Context, c *invocation) error {
	r := resolveRequest{NotRun: c.Bool("not-run")}
	if r.NotRun == (c.Int("status") != 0) {
		return usagef("outcome is missing or ambiguous; allowed: either --not-run, or --status with the answer")
	}
	if !r.NotRun {
		r.Status, r.Type = c.Int("status"), c.String("type")
		if file := c.String("body-file"); file != "" {
			data, err := os.ReadFile(file)
			if err != nil {
				return &usageError{cause: err}
			}
			r.Body = string(data)
		}
	}
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	path := operationPath(c.Args().First())
	check := func(ctx context.Context) (json.RawMessage, bool, error) {
		raw, err := c.client.Read(ctx, path)
		if err != nil {
			return nil, false, err
		}
		var claim applier.ClaimRecord
		if err := json.Unmarshal(raw, &claim); err != nil || claim.ResolvedBy == "" {
			return nil, false, err
		}
		if r.NotRun {
			return raw, claim.State == applier.ClaimReleased, nil
		}
		isSameAnswer := claim.Answer != nil && claim.Answer.Status == r.Status && claim.Answer.Type == r.Type &&
			string(claim.Answer.Body) == r.Body
		return raw, claim.State == applier.ClaimDone && isSameAnswer, nil
	}
	raw, err := c.client.Write(ctx, http.MethodPost, path+"/resolve", body, check)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, claimTable)
}

const verdictsPath = "/admin/v1/verdicts"

func (a *app) verdictCommand() *cli.Command {
	return commandGroup("verdict", "list and clear verdicts on requests that crash engines",
		a.controlCommand("list", "list suspect and poison requests", "", a.listVerdicts),
		a.controlCommand("clear", "delete a verdict", "FINGERPRINT", a.clearVerdict),
	)
}

func (a *app) listVerdicts(ctx context.Context, c *invocation) error {
	raw, err := c.client.Read(ctx, verdictsPath)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[applier.VerdictRecord]) []*table {
		t := &table{}
		t.addRow("FINGERPRINT", "CRASHES", "STATE", "UNTIL")
		for _, r := range v.Items {
			state := "suspect"
			if r.Convicted {
				state = "poison"
			}
			t.addRow(r.Fingerprint, r.Crashes, state, formatTime(r.Until))
		}
		return []*table{t}
	})
}

func (a *app) clearVerdict(ctx context.Context, c *invocation) error {
	fingerprint := c.Args().First()
	check := func(ctx context.Context) (json.RawMessage, bool, error) {
		raw, err := c.client.Read(ctx, verdictsPath)
		if err != nil {
			return nil, false, err
		}
		var list requester.List[applier.VerdictRecord]
		err = json.Unmarshal(raw, &list)
		found := slices.ContainsFunc(list.Items, func(r applier.VerdictRecord) bool { return r.Fingerprint == fingerprint })
		return raw, err == nil && !found, err
	}
	if _, err := c.client.Write(
		ctx, http.MethodDelete, verdictsPath+"/"+url.PathEscape(fingerprint), nil, check,
	); err != nil {
		return err
	}
	return a.printChange(c, "verdict", fingerprint, "cleared")
}

func (a *app) listAuditRecords(ctx context.Context, c *invocation) error {
	raw, err := c.client.Read(ctx, fmt.Sprintf("/admin/v1/audit?after=%d", c.Uint64("after")))
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[applier.AuditRecord]) []*table {
		t := &table{}
		t.addRow("NUMBER", "TIME", "ACTOR", "TEAM", "ACTION", "TARGET", "DETAIL")
		for i := range v.Items {
			r := &v.Items[i]
			t.addRow(r.Number, formatTime(r.Time), r.Actor, r.Team, r.Action, r.Target, r.Detail)
		}
		return []*table{t}
	})
}

const membersPath = "/admin/v1/members"

func (a *app) memberCommand() *cli.Command {
	change := func(name string) action {
		return func(ctx context.Context, c *invocation) error { return a.changeMember(ctx, c, name) }
	}
	return commandGroup("member", "manage control instances",
		a.controlCommand("list", "list the control instances", "", a.listMembers),
		a.controlCommand("add", "add a control instance as a learner", "NAME", change("add")),
		a.controlCommand("promote", "make a learner a voter", "NAME", change("promote")),
		a.controlCommand("remove", "remove a control instance from the group", "NAME", change("remove")),
	)
}

func memberTable(v *requester.Membership) *table {
	t := &table{}
	t.addRow("CONTROL", "ROLE", "MATCH", "LEADER")
	for _, m := range v.Members {
		role, leader := "voter", ""
		if m.Learner {
			role = "learner"
		}
		if m.Name == v.Leader {
			leader = "yes"
		}
		t.addRow(m.Name, role, m.Match, leader)
	}
	return t
}

func (a *app) listMembers(ctx context.Context, c *invocation) error {
	raw, err := c.client.Read(ctx, membersPath)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.Membership) []*table { return []*table{memberTable(v)} })
}

func (a *app) changeMember(ctx context.Context, c *invocation, change string) error {
	name := c.Args().First()
	check := func(ctx context.Context) (json.RawMessage, bool, error) {
		raw, err := c.client.Read(ctx, membersPath)
		if err != nil {
			return nil, false, err
		}
		var v requester.Membership
		err = json.Unmarshal(raw, &v)
		i := slices.IndexFunc(v.Members, func(m requester.Member) bool { return m.Name == name })
		return raw, err == nil && map[string]bool{
			"add": i >= 0, "promote": i >= 0 && !v.Members[max(i, 0)].Learner, "remove": i < 0,
		}[change], err
	}
	raw, err := c.client.Write(ctx, http.MethodPost, membersPath+"/"+url.PathEscape(name)+"/"+change, nil, check)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.Membership) []*table { return []*table{memberTable(v)} })
}
