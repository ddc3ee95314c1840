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

// patience bounds what must come; nothing is decided by it but a failure.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal)
	// The library keeps one goroutine for the process, which tells the date.
	const dateKeeper = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"
	// IgnoreCurrent passes over what libraries start when they are loaded.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction(dateKeeper))
}

// fakeClock is a clock that tests move on.
type fakeClock struct{ now atomic.Int64 }

func (fc *fakeClock) clock() time.Duration      { return time.Duration(fc.now.Load()) }
func (fc *fakeClock) advance(dur time.Duration) { fc.now.Add(int64(dur)) }

// rig is one stand-in server and the connections to it.
type rig struct {
	is *is.I
	up *emul.Upstream
	sv *upst.Server
	fc *fakeClock
}

func newRig(t *testing.T, up emul.UpstreamConfig, cfg upst.Config) *rig {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 1, 20)
	is.NoErr(err)
	sn, err := rg.Snapshot(1)
	is.NoErr(err)
	ri := &rig{is: is, up: emul.NewUpstream(up), fc: new(fakeClock)}
	is.NoErr(ri.up.Start())
	ri.up.Hold(sn, []int{0})
	cfg.Addr = ri.up.Addr()
	cfg.Clock = ri.fc.clock
	ri.sv = upst.New(cfg)
	t.Cleanup(ri.up.Close)
	t.Cleanup(ri.sv.Close)
	return ri
}

func request(id string) wire.ShardRequest {
	return wire.ShardRequest{ID: id, Register: "members", Snapshot: 1, Query: json.RawMessage(`{}`), Limit: 3}
}

// search runs one sub-request with so much time.
func (ri *rig) search(id string, budget time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	rp, err := ri.sv.Search(ctx, request(id))
	if err == nil && rp.ID != id {
		return errors.Errorf("a reply of %s for %s", rp.ID, id)
	}
	return err
}

func (ri *rig) searchOnce(id string, budget time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	_, err := ri.sv.SearchOnce(ctx, request(id))
	return err
}

// begin runs a search in the background.
func (ri *rig) begin(id string, budget time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() { done <- ri.search(id, budget) }()
	return done
}

// until waits for a condition; the clock stands meanwhile.
func (ri *rig) until(what string, cond func() bool) {
	for end := time.Now().Add(patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ri.is.Fail() // never came: see the condition's name in the trace
			panic(what)
		}
	}
}

// failure checks the kind of an error and whether bytes may have left.
func failure(is *is.I, err error, kind upst.Kind, sent bool) {
	is.Helper()
	var ue *upst.Error
	is.True(errors.As(err, &ue))
	is.Equal(ue.Kind, kind)
	is.Equal(ue.Sent, sent)
}
