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
	return commandGroup("key", "operator and signer keys",
		a.localCommand("generate", "make a key file with mode 0600 and print what control stores of it", "FILE", a.generateKey,
			&cli.BoolFlag{Name: "bearer", Usage: "make an operator key in place of an ed25519 signing key"}),
		a.controlCommand("list", "list the keys", "", a.listKeys),
		a.controlCommand("add", "store a key, or rotate one", "NAME", a.addKey,
			&cli.StringFlag{Name: "role", Usage: "`ROLE`: reader, operator or signer"},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` to whose workspaces the key is limited"},
			&cli.StringFlag{Name: "hash", Usage: "`SHA-256` digest of the bearer key, as key generate --bearer prints it"},
			&cli.StringFlag{Name: "public-key", Usage: "ed25519 public `KEY` of a signer, as key generate prints it"},
			&cli.Uint64Flag{Name: "replaces", Usage: "present `GENERATION` of the key, to rotate it"}),
		a.controlCommand("revoke", "end the validity of a key for good", "NAME", a.revokeKey),
	)
}

func (a *app) generateKey(_ context.Context, c *invocation) error {
	type made struct {
		File      string `json:"file"`
		Hash      string `json:"hash,omitempty"`
		PublicKey string `json:"publicKey,omitempty"`
	}
	m := made{File: c.Args().First()}
	if c.Bool("bearer") {
		key := rand.Text() + rand.Text()
		if err := writeKeyFile(m.File, []byte(key+"\n")); err != nil {
			return err
		}
		m.Hash = bundler.HashKey(key)
		return a.printResult(c, m, "hash: %s", m.Hash)
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return err
	}
	if err := writeKeyFile(m.File, pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der})); err != nil {
		return err
	}
	m.PublicKey = hex.EncodeToString(public)
	return a.printResult(c, m, "publicKey: %s", m.PublicKey)
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
	return nil, fmt.Errorf("%s: allowed: an ed25519 private key in PEM form (PKCS #8)", file)
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

// keyBack looks for a key that the write would leave behind.
func (c *invocation) keyOutcome(isDone func(k applier.Key) bool) requester.OutcomeCheck {
	return func(ctx context.Context) (json.RawMessage, bool, error) {
		list, _, err := c.readKeys(ctx)
		return json.RawMessage(`{"index":0,"inFlight":0}`), slices.ContainsFunc(list, isDone), err
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
		return usagef("--role or --hash is missing; allowed: a role, and the hash that key generate --bearer prints")
	}
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	back := c.keyOutcome(func(got applier.Key) bool {
		return got.Name == k.Name && string(got.Role) == k.Role && got.Team == k.Team && got.Hash == k.Hash &&
			hex.EncodeToString(got.PublicKey) == k.PublicKey && !got.Revoked
	})
	if _, err := c.client.Write(ctx, http.MethodPost, keysPath, body, back); err != nil {
		return err
	}
	return a.printChange(c, "key", k.Name, "stored")
}

func (a *app) revokeKey(ctx context.Context, c *invocation) error {
	name := c.Args().First()
	back := c.keyOutcome(func(k applier.Key) bool { return k.Name == name && k.Revoked })
	path := keysPath + "/" + url.PathEscape(name)
	if _, err := c.client.Write(ctx, http.MethodDelete, path, nil, back); err != nil {
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
