package classify

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/passthrough"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// testProtocol is a request protocol with short header names.
type testProtocol struct{ passthrough.Protocol }

func (testProtocol) ReadCall(h *fasthttp.RequestHeader) (passthrough.Call, error) {
	c := passthrough.Call{ID: string(h.Peek("Id")), Key: string(h.Peek("Key"))}
	if c.ID == "" {
		return c, passthrough.ErrNoID
	}
	return c, nil
}

// testCatalog has a route that requires a key, a public one, and organisations with and without their own priority.
func testCatalog() *catalog.Catalog {
	split := []catalog.Share{{Service: "s", Weight: 1}}
	return catalog.New(catalog.Content{
		Version: 1,
		Routes: []*catalog.Route{
			{Name: "closed", Host: "h", Prefix: "/closed/", Priority: 2, Split: split, Timeout: time.Second, Objective: time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Public: true, Priority: 2, Split: split},
		},
		Organisations: []*catalog.Organisation{
			{Name: "a", Keys: []string{"ka1", "ka2"}, Priority: 0, HasPriority: true}, {Name: "b", Keys: []string{"kb"}},
		},
	})
}

// outcome is what the filter decided on a request.
type outcome struct {
	status       int // of the refusal; 0: passed on to the next filter
	organisation string
	priority     int
}

func send(h pipeline.Handler, path, id, key string) outcome {
	var req fasthttp.RequestCtx
	req.Request.SetRequestURI(path)
	req.Request.Header.SetHost("h")
	req.Request.Header.Set("Id", id)
	req.Request.Header.Set("Key", key)
	ex := &pipeline.Exchange{HTTP: &req, Start: time.Now()}
	err := h.Serve(context.Background(), ex)
	if r, ok := refusal.As(err); ok {
		return outcome{status: r.Status}
	}
	return outcome{0, ex.Organisation, ex.Priority}
}

func newFilter(c *catalog.Catalog) pipeline.Handler {
	next := pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil })
	return New(next, Config{Protocol: testProtocol{}, Catalog: func() *catalog.Catalog { return c }})
}

// Guards against a wrong organisation or priority, and against passing on requests without id, key or route.
func TestRequestsAreClassifiedOrRefused(t *testing.T) {
	h := newFilter(testCatalog())
	for _, c := range []struct {
		path, id, key string
		want          outcome
	}{
		{"/closed/x", "1", "ka2", outcome{0, "a", 0}},
		{"/closed/x?q", "1", "kb", outcome{0, "b", 2}},
		{"/closed/x", "1", "", outcome{status: 401}},
		{"/closed/x", "1", "ka", outcome{status: 401}},
		{"/open/x", "1", "", outcome{0, "", 2}},
		{"/open/x", "1", "unknown", outcome{0, "", 2}},
		{"/open/x", "1", "ka1", outcome{0, "a", 0}},
		{"/other/x", "1", "ka1", outcome{status: 404}},
		{"/closed", "1", "ka1", outcome{status: 404}},
		{"/closed/x", "", "ka1", outcome{status: 400}},
	} {
		if got := send(h, c.path, c.id, c.key); got != c.want {
			t.Errorf("%+v: %+v", c, got)
		}
	}
	if got := send(newFilter(nil), "/closed/x", "1", "ka1"); got.status != 503 {
		t.Errorf("without a configuration: %+v", got)
	}
}

// Guards against a flood of wrong keys of which one is accepted, or after which a right key is refused.
func TestWrongKeysAreRefusedAndRightKeysStillAccepted(t *testing.T) {
	h := newFilter(testCatalog())
	for i := range 50_000 {
		if got := send(h, "/closed/x", "1", fmt.Sprintf("ka%d", i+3)); got.status != 401 {
			t.Fatalf("key %d: %+v", i, got)
		}
	}
	if got := send(h, "/closed/x", "1", "ka1"); got.organisation != "a" {
		t.Errorf("%+v", got)
	}
}
