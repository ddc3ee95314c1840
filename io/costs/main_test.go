package costs_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// responderEnv is the environment variable that makes the test binary run as the peer process instead
// of running tests.
const responderEnv = "LABURNUMVANE_COSTS_RESPONDER"

func TestMain(m *testing.M) {
	if os.Getenv(responderEnv) != "" {
		os.Exit(runResponder())
	}
	os.Exit(m.Run())
}

// peerAddrs are the addresses on which the peer process listens.
type peerAddrs struct {
	Upstream string `json:"upstream"`
	Inner    string `json:"inner"`
	Usage    string `json:"account"`
	Caller   string `json:"caller"`
}

// usage is the processor time and the bytes received and sent by the peer process so far.
type usage struct {
	CPU      time.Duration `json:"cpu"`
	Received int64         `json:"received"`
	Sent     int64         `json:"sent"`
}

// startPeer starts the peer process. It exits when its standard input is closed, so that it cannot
// outlive the benchmark.
func startPeer(tb testing.TB) peerAddrs {
	tb.Helper()
	is := is.New(tb)
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), responderEnv+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	is.NoErr(err)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	tb.Cleanup(func() {
		is.NoErr(in.Close())
		is.NoErr(cmd.Wait())
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	is.NoErr(err)
	var ad peerAddrs
	is.NoErr(json.Unmarshal(line, &ad))
	return ad
}

// fetchUsage requests the usage from the peer process.
func fetchUsage(tb testing.TB, ad peerAddrs) usage {
	tb.Helper()
	is := is.New(tb)
	rs, err := http.Get("http://" + ad.Usage)
	is.NoErr(err)
	raw, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	var ac usage
	is.NoErr(json.Unmarshal(raw, &ac))
	return ac
}

// cpuTime returns the user and system processor time of this process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(fmt.Sprint("getrusage: ", err))
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// costMeter measures the costs of work since startMeter.
type costMeter struct {
	tb    testing.TB
	ad    peerAddrs
	cpu   time.Duration
	other usage
}

func startMeter(tb testing.TB, ad peerAddrs) costMeter {
	tb.Helper()
	other := fetchUsage(tb, ad)
	return costMeter{tb: tb, ad: ad, cpu: cpuTime(), other: other}
}

// report reports the cost of one of n units. The bytes that the peer process received are the ones
// that this process sent.
func (cm costMeter) report(b *testing.B, unit string, n int) {
	b.Helper()
	cpu := cpuTime() - cm.cpu
	other := fetchUsage(b, cm.ad)
	each := 1 / float64(n)
	b.ReportMetric(cpu.Seconds()*1e6*each, "cpu-us/"+unit)
	b.ReportMetric((other.CPU-cm.other.CPU).Seconds()*1e6*each, "peer-cpu-us/"+unit)
	b.ReportMetric(float64(other.Received-cm.other.Received)*each, "sent-B/"+unit)
	b.ReportMetric(float64(other.Sent-cm.other.Sent)*each, "received-B/"+unit)
}
