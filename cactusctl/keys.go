package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/cactusctl/requester"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

const (
	keysPath = "/admin/v1/keys"
	pemType  = "PRIVATE KEY"
)

func (a *app) keyCommand() *cli.Command {
	return commandGroup("key", "manage operator and signer keys",
		a.localCommand("generate", "create a key file with mode 0600 and print the hash or public key to register", "FILE",
			a.generateKey,
			&cli.BoolFlag{Name: "bearer", Usage: "create an operator key instead of an ed25519 signing key"}),
		a.controlCommand("list", "list the keys", "", a.listKeys),
		a.controlCommand("add", "register a key or rotate an existing one", "NAME", a.addKey,
			&cli.StringFlag{Name: "role", Usage: "`ROLE`: reader, operator or signer"},
			&cli.StringFlag{Name: "team", Usage: "limit the key to the workspaces of this `TEAM`"},
			&cli.StringFlag{Name: "hash", Usage: "`SHA-256` hash of the bearer key, as printed by key generate --bearer"},
			&cli.StringFlag{Name: "public-key", Usage: "ed25519 public `KEY` of a signer, as printed by key generate"},
			&cli.Uint64Flag{Name: "replaces", Usage: "current `GENERATION` of the key to rotate"}),
		a.controlCommand("revoke", "revoke a key permanently", "NAME", a.revokeKey),
	)
}

func (a *app) generateKey(_ context.Context, c *invocation) error {
	type generatedKey struct {
		File      string `json:"file"`
		Hash      string `json:"hash,omitempty"`
		PublicKey string `json:"publicKey,omitempty"`
	}
	result := generatedKey{File: c.Args().First()}
	if c.Bool("bearer") {
		key := rand.Text() + rand.Text()
		if err := writeKeyFile(result.File, []byte(key+"\n")); err != nil {
			return err
		}
		result.Hash = bundler.HashKey(key)
		return a.printResult(c, result, "hash: %s", result.Hash)
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return err
	}
	if err := writeKeyFile(result.File, pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der})); err != nil {
		return err
	}
	result.PublicKey = hex.EncodeToString(public)
	return a.printResult(c, result, "publicKey: %s", result.PublicKey)
}

func loadSigningKey(file string) (ed25519.PrivateKey, error) {
	data, err := readKeyFile(file)
	if err != nil {
		return nil, err
	}
	if block, _ := pem.Decode(data); block != nil && block.Type == pemType {
		if key, err := x509.ParsePKCS8PrivateKey(block.Bytes); err == nil {
			if private, ok := key.(ed25519.PrivateKey); ok {
				return private, nil
			}
		}
	}
	return nil, fmt.Errorf("%s: not an ed25519 key; allowed: an ed25519 private key in PEM format (PKCS #8)", file)
}

func (c *invocation) readKeys(ctx context.Context) ([]applier.Key, json.RawMessage, error) {
	raw, err := c.client.Read(ctx, keysPath)
	if err != nil {
		return nil, nil, err
	}
	var list requester.List[applier.Key]
	err = json.Unmarshal(raw, &list)
	return list.Items, raw, err
}

// keyOutcome returns a check that looks for a key in the state that the write produces.
func (c *invocation) keyOutcome(isApplied func(k applier.Key) bool) requester.OutcomeCheck {
	return func(ctx context.Context) (json.RawMessage, bool, error) {
		list, _, err := c.readKeys(ctx)
		return json.RawMessage(`{"index":0,"inFlight":0}`), slices.ContainsFunc(list, isApplied), err
	}
}

func (a *app) listKeys(ctx context.Context, c *invocation) error {
	_, raw, err := c.readKeys(ctx)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[applier.Key]) []*table {
		t := &table{}
		t.addRow("NAME", "ROLE", "TEAM", "GENERATION", "STATE", "PUBLIC KEY")
		for i := range v.Items {
			k := &v.Items[i]
			state := "valid"
			if k.Revoked {
				state = "revoked"
			}
			t.addRow(k.Name, k.Role, k.Team, k.Generation, state, hex.EncodeToString(k.PublicKey))
		}
		return []*table{t}
	})
}

type addKeyRequest struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Team      string `json:"team,omitempty"`
	Hash      string `json:"hash"`
	PublicKey string `json:"publicKey,omitempty"`
	Replaces  uint64 `json:"replaces,omitempty"`
}

func (a *app) addKey(ctx context.Context, c *invocation) error {
	k := addKeyRequest{
		Name: c.Args().First(), Role: c.String("role"), Team: c.String("team"), Hash: strings.ToLower(c.String("hash")),
		PublicKey: strings.ToLower(c.String("public-key")), Replaces: c.Uint64("replaces"),
	}
	if k.Role == "" || k.Hash == "" {
		return usagef("--role or --hash is missing; allowed: a role, and the hash printed by key generate --bearer")
	}
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	check := c.keyOutcome(func(got applier.Key) bool {
		return got.Name == k.Name && string(got.Role) == k.Role && got.Team == k.Team && got.Hash == k.Hash &&
			hex.EncodeToString(got.PublicKey) == k.PublicKey && !got.Revoked
	})
	if _, err := c.client.Write(ctx, http.MethodPost, keysPath, body, check); err != nil {
		return err
	}
	return a.printChange(c, "key", k.Name, "stored")
}

func (a *app) revokeKey(ctx context.Context, c *invocation) error {
	name := c.Args().First()
	check := c.keyOutcome(func(k applier.Key) bool { return k.Name == name && k.Revoked })
	path := keysPath + "/" + url.PathEscape(name)
	if _, err := c.client.Write(ctx, http.MethodDelete, path, nil, check); err != nil {
		return err
	}
	return a.printChange(c, "key", name, "revoked")
}

type changeResult struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	State string `json:"state"`
}

func (a *app) printChange(c *invocation, kind, name, state string) error {
	return a.printResult(c, changeResult{Kind: kind, Name: name, State: state}, "%s %s: %s", kind, name, state)
}
