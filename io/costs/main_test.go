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

// responderEnv makes the test binary the other end instead of running tests.
const responderEnv = "LABURNUMVANE_COSTS_RESPONDER"

func TestMain(m *testing.M) {
	if os.Getenv(responderEnv) != "" {
		os.Exit(respond())
	}
	os.Exit(m.Run())
}

// addrs is where the other end listens.
type addrs struct {
	Upstream string `json:"upstream"`
	Inner    string `json:"inner"`
	Account  string `json:"account"`
	Caller   string `json:"caller"`
}

// account is what the other end has used and carried.
type account struct {
	CPU      time.Duration `json:"cpu"`
	Received int64         `json:"received"`
	Sent     int64         `json:"sent"`
}

// startPeer starts the other end; it ends when its standard input does, so it
// cannot outlive the benchmark.
func startPeer(tb testing.TB) addrs {
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
	var ad addrs
	is.NoErr(json.Unmarshal(line, &ad))
	return ad
}

// accountOf asks the other end.
func accountOf(tb testing.TB, ad addrs) account {
	tb.Helper()
	is := is.New(tb)
	rs, err := http.Get("http://" + ad.Account)
	is.NoErr(err)
	raw, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	var ac account
	is.NoErr(json.Unmarshal(raw, &ac))
	return ac
}

// cpuTime is the processor time of this process, in its own code and in the
// kernel's on its behalf.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(fmt.Sprint("getrusage: ", err))
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// bill measures a stretch of work.
type bill struct {
	tb    testing.TB
	ad    addrs
	cpu   time.Duration
	other account
}

func openBill(tb testing.TB, ad addrs) bill {
	tb.Helper()
	other := accountOf(tb, ad)
	return bill{tb: tb, ad: ad, cpu: cpuTime(), other: other}
}

// report prints what one of n units cost. What the other end received was sent
// here.
func (bi bill) report(b *testing.B, unit string, n int) {
	b.Helper()
	cpu := cpuTime() - bi.cpu
	other := accountOf(b, bi.ad)
	each := 1 / float64(n)
	b.ReportMetric(cpu.Seconds()*1e6*each, "cpu-us/"+unit)
	b.ReportMetric((other.CPU-bi.other.CPU).Seconds()*1e6*each, "peer-cpu-us/"+unit)
	b.ReportMetric(float64(other.Received-bi.other.Received)*each, "sent-B/"+unit)
	b.ReportMetric(float64(other.Sent-bi.other.Sent)*each, "received-B/"+unit)
}
