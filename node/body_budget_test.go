package node

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a router that is killed for its memory because many callers send large bodies at once, and against
// memory that stays reserved after a request.
func TestBodiesOfAllRequestsAreBounded(t *testing.T) {
	const bodyBytes, admitted = 100 << 10, 3
	release := make(chan struct{})
	e := newFakeEndpoint(t, func(req *receivedRequest) {
		<-release
		respondOK(req)
	})
	p := newTestProxy(t, testPlan(1), e)
	p.bodies.Limit = 2 * admitted * bodyBytes // each must leave a quarter and its own size free
	body := strings.Repeat("x", bodyBytes)
	var wg sync.WaitGroup
	for range admitted {
		wg.Go(func() { assert.Check(t, p.call(t, http.MethodPost, "/once/", body).status == http.StatusOK) })
	}
	eventually(t, "requests at the endpoint", func() bool { return e.count() == admitted })
	got := p.call(t, http.MethodPost, "/once/", body)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, "memory\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	// An ordinary body is not refused because of large ones.
	wg.Go(func() { assert.Check(t, p.call(t, http.MethodPost, "/once/", "x").status == http.StatusOK) })
	eventually(t, "the ordinary request at the endpoint", func() bool { return e.count() == admitted+1 })
	// A body of unknown length is refused when it has grown too large.
	r, err := http.NewRequest(http.MethodPost, p.url+"/once/", io.MultiReader(strings.NewReader(body)))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Api-Key", "key")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	close(release)
	wg.Wait()
	eventually(t, "release of the memory", func() bool { return p.bodies.Used() == 0 })
	assert.Equal(t, p.call(t, http.MethodPost, "/once/", body).status, http.StatusOK)
}
