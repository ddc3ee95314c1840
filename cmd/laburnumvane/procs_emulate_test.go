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

// The "emulate" subcommands control a running "emulate" process. Each must reach that process and
// return the documented exit code. A second "emulate" on the same ports fails, and SIGTERM ends the
// first one with code 0.
func TestProcsEmulateCommands(t *testing.T) {
	is := is.New(t)
	clu := &cluster{t: t, cfg: clusterConfig{vms: 1, serviceTime: time.Millisecond}}
	clu.startStage()
	is.Equal(len(clu.stage.Plan), 1)
	is.True(strings.HasPrefix(clu.stage.Plan[0].Serve, "laburnumvane serve --data-centre east "))
	is.Equal(clu.stage.VMs, []wire.VM{{Addr: clu.stage.Plan[0].Inner, DataCentre: "east", Region: emulateRegion, State: wire.VMLive}})
	upstream := clu.stage.Upstreams[0]

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
		{"fault upstream --restart " + upstream.Addr, exitOK, upstream.Addr + "\n"},
		{"fault upstream --drain " + upstream.Addr, exitOK, upstream.Addr + "\n"},
		{"fault snapshot --shards 4", exitOK, "snapshot 2, 4 shards\n"},
		{"fault vm-list --add nowhere", exitUsage, ""},
		{"fault vm-list --add west=127.0.0.1:1 --remove " + clu.stage.Plan[0].Inner, exitOK, ""},
	} {
		args := append([]string{"emulate"}, strings.Fields(tc.args)...)
		if len(args) > 2 || args[1] == "runs" {
			args = append(args, "--admin", clu.stage.Admin)
		}
		out, code := runProgram(t, args...)
		if code != tc.code || tc.out != "" && out != tc.out {
			t.Errorf("%v: code %d, want %d: %s", args, code, tc.code, out)
		}
	}

	out, code := runProgram(t, "emulate", "show", "--json", "--admin", clu.stage.Admin)
	is.Equal(code, exitOK)
	var ry emul.StageReply
	is.NoErr(json.Unmarshal([]byte(out), &ry))
	is.Equal(ry.Upstreams[0].Incarnation, uint64(2))
	is.Equal(ry.Upstreams[0].State, wire.UpstreamDraining)
	is.Equal(ry.Shards, 4)
	is.Equal(len(ry.VMs), 1)
	is.Equal(ry.VMs[0].DataCentre, "west")

	_, port, _ := strings.Cut(clu.stage.KV, ":")
	_, code = runProgram(t, "emulate", "--port", port)
	is.Equal(code, exitFailure)
	_, code = runProgram(t, "emulate", "--port", "65500")
	is.Equal(code, exitUsage)
	clu.platform.signal(syscall.SIGTERM)
	is.Equal(clu.platform.exitCode(), exitOK)
	_, code = runProgram(t, "emulate", "show", "--admin", clu.stage.Admin)
	is.Equal(code, exitFailure)
}
