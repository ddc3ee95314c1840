package upst_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// waitTimeout limits the wait for events that must happen; only a failing test reaches it.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal)
	// The library has one goroutine per process, which updates the date.
	const dateUpdater = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"
	// IgnoreCurrent ignores goroutines that libraries start when they are loaded.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction(dateUpdater))
}

// fakeClock is a clock that tests advance.
type fakeClock struct{ now atomic.Int64 }

func (fc *fakeClock) clock() time.Duration      { return time.Duration(fc.now.Load()) }
func (fc *fakeClock) advance(dur time.Duration) { fc.now.Add(int64(dur)) }

// fixture is one emulated server and the connections to it.
type fixture struct {
	is *is.I
	up *emul.Upstream
	sv *upst.Server
	fc *fakeClock
}

func newFixture(t *testing.T, up emul.UpstreamConfig, cfg upst.Config) *fixture {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 1, 20)
	is.NoErr(err)
	sn, err := rg.Snapshot(1)
	is.NoErr(err)
	fx := &fixture{is: is, up: emul.NewUpstream(up), fc: new(fakeClock)}
	is.NoErr(fx.up.Start())
	fx.up.Hold(sn, []int{0})
	cfg.Addr = fx.up.Addr()
	cfg.Clock = fx.fc.clock
	fx.sv = upst.New(cfg)
	t.Cleanup(fx.up.Close)
	t.Cleanup(fx.sv.Close)
	return fx
}

func request(id string) wire.ShardRequest {
	return wire.ShardRequest{ID: id, Register: "members", Snapshot: 1, Query: json.RawMessage(`{}`), Limit: 3}
}

// search runs one sub-request with a timeout.
func (fx *fixture) search(id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rp, err := fx.sv.Search(ctx, request(id))
	if err == nil && rp.ID != id {
		return errors.Errorf("reply to %s received for %s", rp.ID, id)
	}
	return err
}

func (fx *fixture) searchOnce(id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := fx.sv.SearchOnce(ctx, request(id))
	return err
}

// searchAsync runs a search in the background.
func (fx *fixture) searchAsync(id string, timeout time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() { done <- fx.search(id, timeout) }()
	return done
}

// until waits for a condition without advancing the clock.
func (fx *fixture) until(what string, cond func() bool) {
	for end := time.Now().Add(waitTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			fx.is.Fail() // the panic names the condition
			panic(what)
		}
	}
}

// checkError checks the kind of an error and its Sent flag.
func checkError(is *is.I, err error, kind upst.Kind, sent bool) {
	is.Helper()
	var ue *upst.Error
	is.True(errors.As(err, &ue))
	is.Equal(ue.Kind, kind)
	is.Equal(ue.Sent, sent)
}
