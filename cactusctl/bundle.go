package main

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/cactusctl/requester"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

const bundlesPath = "/admin/v1/bundles"

func (a *app) bundleCommand() *cli.Command {
	file := func(usage string) cli.Flag { return &cli.StringFlag{Name: "file", Usage: usage, TakesFile: true} }
	return commandGroup("bundle", "manage versions of the configuration",
		a.localCommand("check", "validate a bundle file without calling control", "FILE", a.checkBundle),
		a.controlCommand("preview", "validate a bundle at control and show what it would change", "FILE", a.previewBundle),
		a.controlCommand("draft", "store a bundle as a draft of its version", "FILE", a.draftBundle),
		a.controlCommand("sign", "sign a stored version", "VERSION", a.signBundle,
			&cli.StringFlag{Name: "signing-key", Usage: "`FILE` with the ed25519 private key in PEM format", TakesFile: true},
			file("reviewed bundle `FILE`; signing fails if the stored content differs")),
		a.controlCommand("rollout", "put a signed version in force", "VERSION", a.rolloutBundle, waitFlags()...),
		a.controlCommand("restore", "copy an earlier version to a draft of the next version", "VERSION", a.restoreBundle),
		a.controlCommand("diff", "show the differences between two versions", "VERSION VERSION", a.diffBundles),
		a.controlCommand("list", "list all versions", "", a.listBundles),
		a.controlCommand("show", "show the content of a version", "VERSION", a.showBundle),
	)
}

func loadBundle(file string) (b *bundler.Bundle, content []byte, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &usageError{cause: err}
	}
	b, errs := bundler.Parse(file, data)
	if len(errs) > 0 {
		e := &requester.APIError{
			Status: http.StatusUnprocessableEntity, Code: "invalid", Message: fmt.Sprintf("%d errors in %s", len(errs), file),
		}
		for _, err := range errs {
			e.Details = append(e.Details, err.Error())
		}
		return nil, nil, e
	}
	content, err = bundler.EncodeCanonical(b)
	return b, content, err
}

func parseVersionArg(c *invocation, n int) (uint64, error) {
	v, err := strconv.ParseUint(c.Args().Get(n), 10, 64)
	if err != nil || v == 0 {
		return 0, usagef("version %q: allowed: a bundle version of at least 1", c.Args().Get(n))
	}
	return v, nil
}

func (a *app) checkBundle(_ context.Context, c *invocation) error {
	b, content, err := loadBundle(c.Args().First())
	if err != nil {
		return err
	}
	type checkResult struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	v := checkResult{Version: b.Version, Digest: bundler.Digest(content)}
	return a.printResult(c, v, "version %d is valid; digest %s", v.Version, v.Digest)
}

func (a *app) previewBundle(ctx context.Context, c *invocation) error {
	_, content, err := loadBundle(c.Args().First())
	if err != nil {
		return err
	}
	raw, err := c.client.Write(ctx, http.MethodPost, bundlesPath+"?check=true", content, nil)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.Bundle) []*table {
		return []*table{differenceTable(v.Differences)}
	})
}

func differenceTable(list []bundler.Difference) *table {
	t := &table{}
	t.addRow("KIND", "NAME", "CHANGE", "BEFORE", "AFTER")
	for i := range list {
		d := &list[i]
		change := "changed"
		if d.Old == nil {
			change = "added"
		} else if d.New == nil {
			change = "removed"
		}
		t.addRow(d.Kind, d.Name, change, compactJSON(d.Old), compactJSON(d.New))
	}
	return t
}

func compactJSON(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// readBundle reads the record and content of a bundle version.
func (c *invocation) readBundle(ctx context.Context, version uint64) (*requester.Bundle, json.RawMessage, error) {
	raw, err := c.client.Read(ctx, fmt.Sprintf("%s/%d", bundlesPath, version))
	if err != nil {
		return nil, nil, err
	}
	v := &requester.Bundle{}
	if err = json.Unmarshal(raw, v); err == nil && v.Bundle == nil {
		err = errors.New("response contains no bundle record")
	}
	return v, raw, err
}

// bundleOutcome returns a check that reads a bundle version and applies isApplied to its record.
func (c *invocation) bundleOutcome(
	version uint64, isApplied func(r *applier.BundleRecord) bool,
) requester.OutcomeCheck {
	return func(ctx context.Context) (json.RawMessage, bool, error) {
		v, raw, err := c.readBundle(ctx, version)
		return raw, err == nil && isApplied(v.Bundle), err
	}
}

func (a *app) printBundleRecord(c *invocation, raw json.RawMessage, versionTitle string) error {
	return printResponse(a, c, raw, func(v *requester.Bundle) []*table {
		t := &table{}
		t.addRow(versionTitle, "DIGEST", "AUTHOR", "SIGNED BY")
		t.addRow(v.Bundle.Version, v.Bundle.Digest, v.Bundle.Author, formatSigners(v.Bundle))
		return []*table{t}
	})
}

func formatSigners(r *applier.BundleRecord) string {
	names := make([]string, 0, len(r.Signatures))
	for _, s := range r.Signatures {
		names = append(names, fmt.Sprintf("%s/%d", s.Signer, s.Generation))
	}
	return strings.Join(names, ",")
}

func (a *app) draftBundle(ctx context.Context, c *invocation) error {
	b, content, err := loadBundle(c.Args().First())
	if err != nil {
		return err
	}
	digest := bundler.Digest(content)
	check := c.bundleOutcome(b.Version, func(r *applier.BundleRecord) bool { return r.Digest == digest })
	raw, err := c.client.Write(ctx, http.MethodPost, bundlesPath, content, check)
	if err != nil {
		return err
	}
	return a.printBundleRecord(c, raw, "STORED")
}

// signBundle computes the digest from the content and compares it with the stored one, so that control can't obtain a
// signature for content that the signer has not seen.
func (a *app) signBundle(ctx context.Context, c *invocation) error {
	version, err := parseVersionArg(c, 0)
	if err != nil {
		return err
	}
	if c.String("signing-key") == "" {
		return usagef("--signing-key is missing; allowed: a file created by key generate")
	}
	private, err := loadSigningKey(c.String("signing-key"))
	if err != nil {
		return &usageError{cause: err}
	}
	v, _, err := c.readBundle(ctx, version)
	if err != nil {
		return err
	}
	var content []byte
	if file := c.String("file"); file != "" {
		if _, content, err = loadBundle(file); err != nil {
			return err
		}
	} else if v.Content != nil {
		if content, err = bundler.EncodeCanonical(v.Content); err != nil {
			return err
		}
	}
	if digest := bundler.Digest(content); digest != v.Bundle.Digest {
		return fmt.Errorf("not signed: the content has digest %s, but stored version %d has %s", digest, version,
			v.Bundle.Digest)
	}
	body, err := json.Marshal(signRequest{
		Signature: ed25519.Sign(private, applier.SignedMessage(v.Bundle.Digest)),
	})
	if err != nil {
		return err
	}
	public := private.Public().(ed25519.PublicKey)
	check := c.bundleOutcome(version, func(r *applier.BundleRecord) bool {
		return slices.ContainsFunc(r.Signatures, func(s applier.Signature) bool {
			return ed25519.Verify(public, applier.SignedMessage(v.Bundle.Digest), s.Signature)
		})
	})
	raw, err := c.client.Write(ctx, http.MethodPost, fmt.Sprintf("%s/%d/signatures", bundlesPath, version), body, check)
	if err != nil {
		return err
	}
	return a.printBundleRecord(c, raw, "SIGNED")
}

type signRequest struct {
	Signature []byte `json:"signature"`
}

func (a *app) rolloutBundle(ctx context.Context, c *invocation) error {
	version, err := parseVersionArg(c, 0)
	if err != nil {
		return err
	}
	// The rollout is applied if the version was ever in force, even if another operator has since rolled out a higher
	// one.
	check := c.bundleOutcome(version, func(r *applier.BundleRecord) bool { return r.RolledOutAt > 0 })
	raw, err := c.client.Write(ctx, http.MethodPost, fmt.Sprintf("%s/%d/rollout", bundlesPath, version), nil, check)
	if err != nil {
		return err
	}
	if c.Bool("wait") {
		if err := a.waitRollout(ctx, c, version); err != nil {
			return err
		}
	}
	return a.printBundleRecord(c, raw, "IN FORCE")
}

func (c *invocation) readBundleRecords(ctx context.Context) ([]applier.BundleRecord, json.RawMessage, error) {
	raw, err := c.client.Read(ctx, bundlesPath)
	if err != nil {
		return nil, nil, err
	}
	var list requester.List[applier.BundleRecord]
	err = json.Unmarshal(raw, &list)
	return list.Items, raw, err
}

// restoreBundle first reads the highest version, so that it finds the copy of a write whose response was lost and does
// not create a second one.
func (a *app) restoreBundle(ctx context.Context, c *invocation) error {
	from, err := parseVersionArg(c, 0)
	if err != nil {
		return err
	}
	records, _, err := c.readBundleRecords(ctx)
	if err != nil {
		return err
	}
	var highest uint64
	for i := range records {
		highest = max(highest, records[i].Version)
	}
	check := func(ctx context.Context) (json.RawMessage, bool, error) {
		list, _, err := c.readBundleRecords(ctx)
		for i := range list {
			if list[i].Version > highest && list[i].RestoredFrom == from {
				raw, err := json.Marshal(requester.Bundle{Bundle: &list[i]})
				return raw, err == nil, err
			}
		}
		return nil, false, err
	}
	raw, err := c.client.Write(ctx, http.MethodPost, fmt.Sprintf("%s/%d/restore", bundlesPath, from), nil, check)
	if err != nil {
		return err
	}
	return a.printBundleRecord(c, raw, "STORED")
}

func (a *app) diffBundles(ctx context.Context, c *invocation) error {
	from, err := parseVersionArg(c, 0)
	if err != nil {
		return err
	}
	to, err := parseVersionArg(c, 1)
	if err != nil {
		return err
	}
	raw, err := c.client.Read(ctx, fmt.Sprintf("%s/%d/diff/%d", bundlesPath, from, to))
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[bundler.Difference]) []*table {
		return []*table{differenceTable(v.Items)}
	})
}

func (a *app) listBundles(ctx context.Context, c *invocation) error {
	_, raw, err := c.readBundleRecords(ctx)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[applier.BundleRecord]) []*table {
		t := &table{}
		t.addRow("VERSION", "DIGEST", "AUTHOR", "CREATED", "SIGNED BY", "ROLLED OUT", "RESTORED FROM")
		for i := range v.Items {
			r := &v.Items[i]
			from := ""
			if r.RestoredFrom > 0 {
				from = strconv.FormatUint(r.RestoredFrom, 10)
			}
			t.addRow(r.Version, shortenDigest(r.Digest), r.Author, formatTime(r.Created), formatSigners(r),
				formatTime(r.RolledOutAt), from)
		}
		return []*table{t}
	})
}

// showBundle prints the content as a file that bundle check accepts, or the entire response with --output json.
func (a *app) showBundle(ctx context.Context, c *invocation) error {
	version, err := parseVersionArg(c, 0)
	if err != nil {
		return err
	}
	v, raw, err := c.readBundle(ctx, version)
	if err != nil {
		return err
	}
	if c.String("output") != outputJSON && v.Content != nil {
		if raw, err = bundler.EncodeCanonical(v.Content); err != nil {
			return err
		}
	}
	return a.printJSON(raw)
}
