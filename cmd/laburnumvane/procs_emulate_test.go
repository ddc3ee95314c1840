package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// An operator who tries VMs at home steers the stand-ins by commands. Each has
// to reach the process that runs and to end with the code that scripts go by; a
// second one at the same ports fails, and SIGTERM ends the first with 0.
func TestProcsEmulateCommands(t *testing.T) {
	is := is.New(t)
	wd := &world{t: t, cfg: worldConfig{vms: 1, serviceTime: time.Millisecond}}
	wd.startStage()
	is.Equal(len(wd.stage.Plan), 1)
	is.True(strings.HasPrefix(wd.stage.Plan[0].Serve, "laburnumvane serve --data-centre east "))
	is.Equal(wd.stage.VMs, []wire.VM{{Addr: wd.stage.Plan[0].Inner, DataCentre: "east", Region: emulateRegion, State: wire.VMLive}})
	one := wd.stage.Upstreams[0]

	for _, tc := range []struct {
		args string
		code int
		out  string
	}{
		{"runs", exitOK, "0 runs, at most 0 of one shard\n"},
		{"runs a b", exitUsage, ""},
		{"fault", exitOK, ""},
		{"fault quake", exitUsage, ""},
		{"fault kv --slow=-1s", exitUsage, ""},
		{"fault kv --slow 5ms --past", exitOK, ""},
		{"fault kv", exitOK, ""},
		{"fault upstream", exitUsage, ""},
		{"fault upstream nobody", exitFailure, ""},
		{"fault upstream --crash --drain all", exitUsage, ""},
		{"fault upstream --slow-share 2 all", exitUsage, ""},
		{"fault upstream --claim happy all", exitUsage, ""},
		{"fault upstream --restart " + one.Addr, exitOK, one.Addr + "\n"},
		{"fault upstream --drain " + one.Addr, exitOK, one.Addr + "\n"},
		{"fault snapshot --shards 4", exitOK, "snapshot 2, 4 shards\n"},
		{"fault vm-list --add nowhere", exitUsage, ""},
		{"fault vm-list --add west=127.0.0.1:1 --remove " + wd.stage.Plan[0].Inner, exitOK, ""},
	} {
		args := append([]string{"emulate"}, strings.Fields(tc.args)...)
		if len(args) > 2 || args[1] == "runs" {
			args = append(args, "--admin", wd.stage.Admin)
		}
		out, code := command(t, args...)
		if code != tc.code || tc.out != "" && out != tc.out {
			t.Errorf("%v: code %d, want %d: %s", args, code, tc.code, out)
		}
	}

	out, code := command(t, "emulate", "show", "--json", "--admin", wd.stage.Admin)
	is.Equal(code, exitOK)
	var ry emul.StageReply
	is.NoErr(json.Unmarshal([]byte(out), &ry))
	is.Equal(ry.Upstreams[0].Incarnation, uint64(2))
	is.Equal(ry.Upstreams[0].State, wire.UpstreamDraining)
	is.Equal(ry.Shards, 4)
	is.Equal(len(ry.VMs), 1)
	is.Equal(ry.VMs[0].DataCentre, "west")

	_, port, _ := strings.Cut(wd.stage.KV, ":")
	_, code = command(t, "emulate", "--port", port)
	is.Equal(code, exitFailure)
	_, code = command(t, "emulate", "--port", "65500")
	is.Equal(code, exitUsage)
	wd.platform.signal(syscall.SIGTERM)
	is.Equal(wd.platform.exitCode(), exitOK)
	_, code = command(t, "emulate", "show", "--admin", wd.stage.Admin)
	is.Equal(code, exitFailure)
}
