package measurer

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

// adminClient is a client of the administration API; it tries the control instances one after the other.
type adminClient struct {
	addresses  []string
	signingKey ed25519.PrivateKey
}

type signatureBody struct {
	Signature []byte `json:"signature"`
}

func (a *adminClient) call(ctx context.Context, method, path, key string, body, result any) (err error) {
	data := []byte(nil)
	if raw, ok := body.([]byte); ok {
		data = raw
	} else if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var errs []error
	for _, addr := range a.addresses {
		err := a.callInstance(ctx, method, "http://"+addr+path, key, data, result)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("%s %s at %s: %w", method, path, addr, err))
	}
	return errors.Join(errs...)
}

func (a *adminClient) callInstance(ctx context.Context, method, url, key string, data []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<24))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{Status: resp.StatusCode, Text: string(text)}
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(text, result)
}

// rollout stores, signs and rolls out a bundle; it may be retried after a lost response.
func (a *adminClient) rollout(ctx context.Context, b *bundler.Bundle) error {
	content, err := bundler.EncodeCanonical(b)
	if err != nil {
		return err
	}
	if err := a.call(ctx, http.MethodPost, "/admin/v1/bundles", operatorKey, content, nil); err != nil {
		return err
	}
	sig := signatureBody{
		Signature: ed25519.Sign(a.signingKey, applier.SignedMessage(bundler.Digest(content))),
	}
	path := fmt.Sprintf("/admin/v1/bundles/%d", b.Version)
	if err := a.call(ctx, http.MethodPost, path+"/signatures", signerKey, sig, nil); err != nil {
		return err
	}
	return a.call(ctx, http.MethodPost, path+"/rollout", operatorKey, nil, nil)
}

// setFailureDomain takes a failure domain out of service or into service.
func (a *adminClient) setFailureDomain(ctx context.Context, name string, outOfService bool) error {
	state := "in"
	if outOfService {
		state = "out"
	}
	return a.call(ctx, http.MethodPost, "/admin/v1/failureDomains/"+name+"/"+state, operatorKey, nil, nil)
}

type processList struct {
	Items []struct {
		Name          string `json:"name"`
		Role          string `json:"role"`
		BundleVersion uint64 `json:"bundleVersion"`
	} `json:"items"`
}

func (a *adminClient) processes(ctx context.Context) (l processList, err error) {
	err = a.call(ctx, http.MethodGet, "/admin/v1/processes", operatorKey, nil, &l)
	return l, err
}

type statusResponse struct {
	Control struct {
		Leader string `json:"leader"`
	} `json:"control"`
	BundleVersion uint64 `json:"bundleVersion"`
}

func (a *adminClient) status(ctx context.Context) (s statusResponse, err error) {
	err = a.call(ctx, http.MethodGet, "/admin/v1/status", operatorKey, nil, &s)
	return s, err
}
