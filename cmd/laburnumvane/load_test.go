package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// loadSite starts two VMs with the demo's sample register and returns their callers' addresses.
func loadSite(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister(demoRegister, demoSeed, 100)
	is.NoErr(err)
	st, err := site.Start(site.Config{
		Team: demoTeam, VMs: 2, DataCentres: []string{"east"}, Region: "home",
		Register: rg, Services: 3, Slots: demoSlots, Connections: demoConns,
		Searches: map[string]team.Search{"kiosk": {Class: team.ClassUrgent, HardDeadlineMs: 20_000, HitLimit: 5}},
		Log:      &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	var addrs []string
	for _, nd := range st.Nodes() {
		addrs = append(addrs, nd.Addrs().Caller)
	}
	return addrs
}

func runLoad(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var ob, eb bytes.Buffer
	code = run(t.Context(), append([]string{"laburnumvane", "load"}, args...), strings.NewReader(""), &ob, &eb)
	return code, ob.String(), eb.String()
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	addrs := loadSite(t)
	bounds := []string{"--count", "50", "--rate", "1000", "--for", "1m", "--timeout", "30s", "--members", "100"}
	code, out, errOut := runLoad(t, append(append(bounds, "--json"), addrs...)...)
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	var rep loadReport
	is.NoErr(json.Unmarshal([]byte(out), &rep))
	is.Equal(rep.Arrivals, uint64(50))
	is.Equal(rep.Dropped+rep.Failed, uint64(0))
	is.Equal(rep.Outcomes, map[wire.Outcome]uint64{wire.OutcomeComplete: 50})
	is.Equal(rep.Coverage, 1.0)
	is.True(rep.Work.Primaries >= 150) // three shards each
	is.True(rep.LatencyMs.P50 > 0 && rep.LatencyMs.P50 <= rep.LatencyMs.Max)

	code, out, _ = runLoad(t, append(append(bounds, "--search", "none"), addrs[0])...)
	is.Equal(code, exitOK) // "not run" is an answer too
	for _, want := range []string{"notRun ", "reason unknownSearch", "latency ", "lag "} {
		is.True(strings.Contains(out, want))
	}
}

func TestLoadRefused(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no targets", nil, exitUsage, "no targets"},
		{"address of another machine", []string{"192.0.2.1:80"}, exitUsage, "not a loopback address"},
		{"host name", []string{"localhost:80"}, exitUsage, "not a loopback address"},
		{"rate of zero", []string{"--rate", "0", "127.0.0.1:1"}, exitUsage, "rate"},
		{"duration above the bound", []string{"--for", "48h", "127.0.0.1:1"}, exitUsage, "time"},
		{"count above the bound", []string{"--count", "100000000", "127.0.0.1:1"}, exitUsage, "count"},
		{"query is not JSON", []string{"--query", "{", "127.0.0.1:1"}, exitUsage, "--query is not JSON"},
		{"deadline of zero", []string{"--deadline", "0s", "127.0.0.1:1"}, exitUsage, "--deadline"},
		{"no members", []string{"--members", "0", "127.0.0.1:1"}, exitUsage, "--members"},
		{"no VM listens", []string{"--count", "1", "--rate", "1000", "127.0.0.1:1"}, exitFailure, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := runLoad(t, tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(errOut, tc.want))
		})
	}
}
