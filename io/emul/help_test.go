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
	waitTimeout   = 10 * time.Second       // for events that must happen
	silenceWindow = 100 * time.Millisecond // to see that no answer comes
)

func TestMain(m *testing.M) {
	// Every Close must end the goroutines of its Start. The pool library starts its default
	// pool with the process. The HTTP library has one goroutine that updates the date, and
	// its client has two that check for idle connections every ten seconds and end without
	// a call; no call stops any of these.
	const hertz = "github.com/cloudwego/hertz/pkg/"
	goleak.VerifyTestMain(m,
		goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction(hertz+"protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction(hertz+"app/client.(*Client).cleaner"),
		goleak.IgnoreAnyFunction(hertz+"protocol/http1.(*HostClient).connsCleaner"),
	)
}

// fakeClock is a Clock that tests advance.
type fakeClock struct{ now atomic.Int64 }

func (fc *fakeClock) clock() time.Duration      { return time.Duration(fc.now.Load()) }
func (fc *fakeClock) advance(dur time.Duration) { fc.now.Add(int64(dur)) }

// testClient is an HTTP client with at most one connection.
type testClient struct{ hc http.Client }

func newTestClient(tb testing.TB, timeout time.Duration) *testClient {
	tr := &http.Transport{MaxConnsPerHost: 1}
	tb.Cleanup(tr.CloseIdleConnections)
	return &testClient{hc: http.Client{Transport: tr, Timeout: timeout}}
}

// send sends a POST with the body, or a GET if body is nil, and decodes a reply of status 200
// into out.
func (ca *testClient) send(addr, route string, body, out any) (int, error) {
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

func (ca *testClient) request(url string, body any) (*http.Response, error) {
	if body == nil {
		return ca.hc.Get(url)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return ca.hc.Post(url, contentJSON, bytes.NewReader(raw))
}

// eventually waits for a condition to become true, and fails the test if it does not.
func eventually(is *is.I, cond func() bool) {
	is.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	is.Fail() // the condition did not become true
}
