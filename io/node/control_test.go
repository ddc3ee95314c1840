package node

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/io/setup"
)

// The VM is killed while its control goroutine fills in a status. If onControl returned at once,
// its caller would read the status while it is written: the operator would get an incomplete
// status, or the VM would crash. A stop does not end a running function, so onControl has to wait
// until the control goroutine has ended.
func TestOnControlWaitsForItsFunction(t *testing.T) {
	is := is.New(t)
	set := setup.Defaults()
	set.CallerAddr, set.OperatorAddr, set.InnerAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.DataCentre, set.Region, set.Incarnation = "east", "isle", 1
	nd, err := Start(Config{Settings: set, Log: &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}}})
	is.NoErr(err)
	defer nd.Kill()
	ran := false
	nd.onControl(func(*control) {
		nd.stop()
		time.Sleep(100 * time.Millisecond) // correct code passes whatever the duration
		ran = true
	})
	is.True(ran)
	nd.onControl(func(*control) { t.Error("ran after the VM had stopped") })
}
