package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/entry"
	"laburnumvane/platform/fakes"
)

// startTryVMs starts the VMs of try, with metrics and with client accounts that have marked keys.
func startTryVMs(t *testing.T) *tryRun {
	t.Helper()
	is := is.New(t)
	clearVariables(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	port := ln.Addr().(*net.TCPAddr).Port
	is.NoErr(ln.Close())
	tr := &tryRun{out: &bytes.Buffer{}, metricsPort: port}
	t.Cleanup(tr.close)
	is.NoErr(tr.start())
	tr.site.SetAccounts([]fakes.Account{
		{"name": "orders", "api_keys": []string{"marked-key-1", "marked-key-2"}, "rate_per_s": 5, "burst": 10},
		{"name": "reports", "api_keys": []string{"marked-key-3"}},
	})
	tr.key = "marked-key-3"
	tr.waitForAll(func() bool { return tr.send(fakes.PathLedger+"2f").account == "reports" })
	tr.key = "marked-key-1"
	return tr
}

// metricsURL returns the address of a VM's metrics.
func (tr *tryRun) metricsURL(vm int) string {
	host, _, _ := net.SplitHostPort(tr.vms[vm].InnerAddr)
	return fmt.Sprintf("http://%s:%d", host, tr.metricsPort)
}

// accounts runs the command against a VM and returns its output. No output may have a key.
func (tr *tryRun) accounts(t *testing.T, vm, code int, args ...string) string {
	t.Helper()
	is := is.New(t)
	var out, errOut bytes.Buffer
	args = append([]string{"laburnumvane", "accounts", "--metrics-url", tr.metricsURL(vm)}, args...)
	is.Equal(run(t.Context(), args, nil, &out, &errOut), code)
	all := out.String() + errOut.String()
	is.True(!strings.Contains(all, "marked-key"))
	return all
}

// The command is an operator's only view of an account over all VMs. It must give the same holders and
// limit from any VM, discover the holders, and succeed if one of them is down, which it must show.
func TestAccountsOfRunningVMs(t *testing.T) {
	is := is.New(t)
	tr := startTryVMs(t)
	refused, parts := int64(0), make([]float64, len(tr.vms))
	// A VM counts on more holders than there are until it has known the fleet for 2 s.
	tr.waitUntil(func() bool {
		for range tr.vms {
			if tr.send(fakes.PathLedger+"2f").status == http.StatusTooManyRequests {
				refused++
			}
		}
		for vm := range tr.vms {
			parts[vm] = sumOfParts(tr.holders(t, vm))
		}
		return refused > 0 && slices.Min(parts) > 4.9
	})
	is.True(refused > 0)
	// The parts make use of the deviation that the settings permit.
	is.True(slices.Min(parts) > 4.9 && slices.Max(parts) < 10)
	is.True(slices.Max(parts)-slices.Min(parts) < 0.01)
	overLimit := int64(0)
	for vm := range tr.vms {
		var au entry.AccountUsage
		is.NoErr(json.Unmarshal([]byte(tr.accounts(t, vm, exitOK, "--json")), &au))
		is.Equal(au.VM, tr.vms[vm].InnerAddr)
		is.Equal(len(au.Largest), 1) // requests of an account without a limit are not counted
		is.Equal(au.Largest[0].Limit, 5.0)
		is.Equal(len(au.Largest[0].Holders), len(tr.vms)) // one in each data centre
		overLimit += au.Largest[0].Refused
		is.True(strings.Contains(tr.accounts(t, vm, exitOK), "orders   5"))
		is.True(strings.Contains(tr.accounts(t, vm, exitOK, "reports"), "no limit"))
		is.True(strings.Contains(tr.accounts(t, vm, exitFailure, "unknown"), `no account "unknown"`))
		for _, hr := range tr.holders(t, vm) {
			is.Equal(hr.State, holderActive)
		}
	}
	is.Equal(overLimit, refused)

	tr.edges[2].Abort()
	states := map[string]holderState{}
	for _, hr := range tr.holders(t, 0) {
		states[hr.Addr] = hr.State
	}
	is.Equal(states, map[string]holderState{
		tr.vms[0].InnerAddr: holderActive, tr.vms[1].InnerAddr: holderActive, tr.vms[2].InnerAddr: holderUnavailable,
	})
	is.True(strings.Contains(tr.accounts(t, 0, exitOK, "orders"), "from 2 of 3 holders"))
	is.True(strings.Contains(tr.accounts(t, 2, exitFailure), "unreachable"))
}

// holders returns the holders of the limited account, as the command lists them from a VM.
func (tr *tryRun) holders(t *testing.T, vm int) []holderReply {
	t.Helper()
	is := is.New(t)
	var rep accountReply
	is.NoErr(json.Unmarshal([]byte(tr.accounts(t, vm, exitOK, "orders", "--json")), &rep))
	is.Equal(rep.Account.Burst, 10.0)
	return rep.Holders
}

func sumOfParts(holders []holderReply) float64 {
	sum := 0.0
	for _, hr := range holders {
		if hr.State == holderActive {
			sum += hr.Account.Part
		}
	}
	return sum
}
