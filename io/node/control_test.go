package node

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/io/setup"
)

// What the operator sees: a status that is half written, or a crash of the VM that
// writes it. The VM is killed while its control goroutine fills in the status, and
// whoever asked goes on with it at once.
// Why: that the VM stops does not end what its control goroutine is at, so asking
// has to last until that goroutine has ended.
func TestAskLastsAsLongAsItsFunction(t *testing.T) {
	is := is.New(t)
	set := setup.Defaults()
	set.CallerAddr, set.OperatorAddr, set.InnerAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.DataCentre, set.Region, set.Incarnation = "east", "isle", 1
	nd, err := Start(Config{Settings: set, Log: &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}}})
	is.NoErr(err)
	defer nd.Kill()
	ran := false
	nd.ask(func(*control) {
		nd.stop()
		time.Sleep(100 * time.Millisecond) // a verdict that is right does not hang on it
		ran = true
	})
	is.True(ran)
	nd.ask(func(*control) { t.Error("ran after the VM had stopped") })
}
