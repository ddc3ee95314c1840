package emul

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	_ "laburnumvane/internal/quiet"
)

const (
	patience = 10 * time.Second       // for what must come
	briefly  = 100 * time.Millisecond // for what never comes
)

func TestMain(m *testing.M) {
	// Every Close must end what its Start began. The pool library starts its
	// default pool with the process. The HTTP library keeps one goroutine that
	// tells the date, and its client two that look for idle connections every
	// ten seconds and end by themselves; no call stops them.
	const hertz = "github.com/cloudwego/hertz/pkg/"
	goleak.VerifyTestMain(m,
		goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction(hertz+"protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction(hertz+"app/client.(*Client).cleaner"),
		goleak.IgnoreAnyFunction(hertz+"protocol/http1.(*HostClient).connsCleaner"),
	)
}

// fakeClock is a Clock that tests move on.
type fakeClock struct{ now atomic.Int64 }

func (fc *fakeClock) clock() time.Duration      { return time.Duration(fc.now.Load()) }
func (fc *fakeClock) advance(dur time.Duration) { fc.now.Add(int64(dur)) }

// caller is an HTTP client with one connection.
type caller struct{ hc http.Client }

func newCaller(tb testing.TB, timeout time.Duration) *caller {
	tr := &http.Transport{MaxConnsPerHost: 1}
	tb.Cleanup(tr.CloseIdleConnections)
	return &caller{hc: http.Client{Transport: tr, Timeout: timeout}}
}

// send posts a body, or gets where body is nil, and decodes a reply of status
// 200 into out.
func (ca *caller) send(addr, route string, body, out any) (int, error) {
	rsp, err := ca.request("http://"+addr+route, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, err
	}
	if rsp.StatusCode != http.StatusOK || out == nil {
		return rsp.StatusCode, nil
	}
	return rsp.StatusCode, json.Unmarshal(raw, out)
}

func (ca *caller) request(url string, body any) (*http.Response, error) {
	if body == nil {
		return ca.hc.Get(url)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return ca.hc.Post(url, contentJSON, bytes.NewReader(raw))
}

// eventually waits for a condition that must come true.
func eventually(is *is.I, cond func() bool) {
	is.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	is.Fail() // the condition never came true
}
