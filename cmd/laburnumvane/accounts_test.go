package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/quota"
	"laburnumvane/internal/golden"
	"laburnumvane/io/client"
	"laburnumvane/io/entry"
)

const (
	bodyAccounts = `{"vm":"10.0.0.1:7801","version":7,"copyAgeMs":420,"accounts":[` +
		`{"account":"orders","granted":1200,"returned":4,"overLimit":31,"noLimitHolder":2,"lent":17.25,"ratePerS":21.6,"limitPerS":55,"burst":110,"partPerS":9.17,"level":3.5,"holder":true,"holders":["10.0.0.1:7801","127.0.0.1:7801"]},` +
		`{"account":"night jobs","granted":3,"returned":0,"overLimit":0,"noLimitHolder":0,"lent":0,"ratePerS":0.1,"limitPerS":2.5,"burst":5,"partPerS":0,"level":0,"holder":false,"holders":["127.0.0.1:7801"]}],` +
		`"others":{"account":"","granted":900,"returned":1,"overLimit":0,"noLimitHolder":0,"lent":0,"ratePerS":0,"limitPerS":0,"burst":0,"partPerS":0,"level":0,"holder":false}}`
	bodyNoAccounts = `{"vm":"10.0.0.1:7801","version":7,"copyAgeMs":420,"accounts":[],"others":{"account":"","granted":0}}`
	bodyOrders     = `{"vm":"10.0.0.1:7801","version":7,"copyAgeMs":420,"accounts":[` +
		`{"account":"orders","granted":1200,"returned":4,"overLimit":31,"noLimitHolder":2,"lent":17.25,"ratePerS":21.6,"limitPerS":55,"burst":110,"partPerS":27.5,"level":3.5,"holder":true}],"holders":["10.0.0.1:7801","127.0.0.1:7801"]}`
	bodyOrdersOfHolder = `{"vm":"127.0.0.1:7801","version":8,"copyAgeMs":1150,"accounts":[` +
		`{"account":"orders","granted":700,"returned":0,"overLimit":0,"noLimitHolder":0,"lent":3,"ratePerS":10,"limitPerS":55,"burst":110,"partPerS":27.5,"level":0,"holder":true}],"holders":["127.0.0.1:7801","10.0.0.1:7801"]}`
	bodyUnlimited = `{"vm":"10.0.0.1:7801","version":7,"copyAgeMs":420,"accounts":[{"account":"reports","limitPerS":0,"burst":0}]}`
	bodyUnknown7  = `{"vm":"10.0.0.1:7801","version":7,"copyAgeMs":420,"accounts":null}`
	// bodyOldBuild is of a build that reports neither its address nor the age of its data.
	bodyOldBuild = `{"version":7,"accounts":[{"account":"orders","granted":1200,"overLimit":31,"ratePerS":21.6,"limitPerS":55,"burst":110,"partPerS":27.5,"level":3.5,"holder":true}],"holders":["127.0.0.1:7801"]}`
)

// Scripts rely on the table, the JSON and the exit codes. A holder that does not answer is one of the
// findings that an operator looks for, so that it must not fail the command.
func TestSession_Accounts(t *testing.T) {
	orders := scriptedReply{status: 200, body: bodyOrders}
	golden.Check(t, "accounts", session(t, []step{
		{args: "accounts", replies: []scriptedReply{{status: 200, body: bodyAccounts}}},
		{args: "accounts --json", replies: []scriptedReply{{status: 200, body: bodyAccounts}}},
		{args: "accounts", replies: []scriptedReply{{status: 200, body: bodyNoAccounts}}},
		{args: "accounts orders", replies: []scriptedReply{orders, {status: 200, body: bodyOrdersOfHolder}}},
		{args: "accounts orders --json", replies: []scriptedReply{orders, {status: 200, body: bodyOrdersOfHolder}}},
		{args: "accounts orders", replies: []scriptedReply{orders, {closeConn: true}}},
		{args: "accounts --json orders", replies: []scriptedReply{orders, {closeConn: true}}},
		{args: "accounts orders", replies: []scriptedReply{orders, {status: 404, body: "404 page not found"}}},
		{args: "accounts orders", replies: []scriptedReply{orders, {status: 200, body: bodyUnlimited}}},
		{args: "accounts orders", replies: []scriptedReply{{status: 200, body: bodyOldBuild}, {status: 200, body: bodyOldBuild}}},
		{args: "accounts reports", replies: []scriptedReply{{status: 200, body: bodyUnlimited}}},
		{args: "accounts a&b/c", replies: []scriptedReply{{status: 200, body: bodyUnknown7}}},
		{args: "accounts", replies: []scriptedReply{{status: 404, body: "404 page not found"}}},
		{args: "accounts", replies: []scriptedReply{{status: 200, body: "not JSON"}}},
		{args: "accounts", replies: []scriptedReply{{status: 200, body: `{"accounts":"none"}`}}},
		{args: "accounts", replies: []scriptedReply{{closeConn: true}}},
		{args: "accounts --metrics-url http://127.0.0.1:1"},
		{args: "accounts --metrics-url 127.0.0.1:9464"},
		{args: "accounts --timeout -1s"},
		{args: "accounts orders reports"},
		{args: "accounts --team wash"},
	}))
}

// Each state of a holder asks for another step of the operator; two that look alike would send him to
// the wrong VM.
func TestHolderStates(t *testing.T) {
	orders := func(us quota.Usage) []entry.AccountStatus {
		us.Account, us.Limit = "orders", 10
		return []entry.AccountStatus{{Usage: us}}
	}
	const addr = "10.0.0.2:7801"
	for _, tc := range []struct {
		name  string
		reply entry.AccountUsage
		err   error
		state holderState
		line  string
	}{
		{
			"active", entry.AccountUsage{VM: addr, Version: 7, CopyAgeMs: 30, Largest: orders(quota.Usage{Holder: true, Part: 2.5, Level: 1})}, nil,
			holderActive, "10.0.0.2:7801 holder 2.5 1.0 0.0 0 0 0 0 0.0 7 30ms -",
		},
		{
			"idle", entry.AccountUsage{VM: addr, Version: 7, Largest: orders(quota.Usage{}), Holders: []string{"x:1", addr}}, nil,
			holderIdle, "10.0.0.2:7801 idle - - 0.0 0 0 0 0 0.0 7 0s -",
		},
		{
			"another view of the fleet", entry.AccountUsage{VM: addr, Version: 7, Largest: orders(quota.Usage{Refused: 3}), Holders: []string{"x:1"}}, nil,
			holderDiffers, "10.0.0.2:7801 notHolder - - 0.0 0 0 3 0 0.0 7 0s -",
		},
		{"older version", entry.AccountUsage{VM: addr, Version: 6, CopyAgeMs: 9000}, nil, holderNoAccount, "10.0.0.2:7801 unknownAccount - - - - - - - - 6 9s -"},
		{
			"address of another VM", entry.AccountUsage{VM: "10.0.0.9:1", Version: 7, Largest: orders(quota.Usage{Holder: true})}, nil,
			holderOtherVM, "10.0.0.2:7801 otherVM - - - - - - - - - - VM 10.0.0.9:1 responded",
		},
		{
			"down", entry.AccountUsage{}, &client.Error{Kind: client.KindUnreachable, Err: errors.New("refused")},
			holderUnavailable, "10.0.0.2:7801 unavailable - - - - - - - - - - unreachable",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			hr := newHolderReply(addr, "http://10.0.0.2:9464", &tc.reply, tc.err)
			is.Equal(hr.State, tc.state)
			var out bytes.Buffer
			showHolders(&out, []holderReply{hr})
			lines := strings.Split(out.String(), "\n")
			is.Equal(strings.Join(strings.Fields(lines[1]), " "), tc.line)
		})
	}
}

// A holder that hangs must not hold up the status of the others, nor add to the time of the command
// once for each such holder.
func TestHoldersAreAskedAtOnce(t *testing.T) {
	is := is.New(t)
	const holders = 26
	arrived := make(chan struct{}, holders)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived <- struct{}{}; len(arrived) == holders {
			close(release)
		}
		<-release
		_, _ = w.Write([]byte(bodyOrdersOfHolder))
	}))
	defer srv.Close()
	au := entry.AccountUsage{VM: "10.0.0.1:7801", Largest: []entry.AccountStatus{{Usage: quota.Usage{Account: "orders"}}}}
	for range holders {
		au.Holders = append(au.Holders, "127.0.0.1:7801")
	}
	cmd := accountsCommand()
	is.NoErr(cmd.Set("metrics-url", srv.URL))
	is.NoErr(cmd.Set("timeout", "1m"))
	for _, hr := range readHolders(t.Context(), cmd, &au) {
		is.Equal(hr.State, holderActive)
	}
}

func TestURLAtHost(t *testing.T) {
	for _, tc := range []struct{ base, addr, want string }{
		{"http://10.0.0.1:9464", "10.0.0.2:7801", "http://10.0.0.2:9464"},
		{"https://vm.example/gw", "10.0.0.2:7801", "https://10.0.0.2/gw"},
		{"http://[fd00::1]:9464", "[fd00::2]:7801", "http://[fd00::2]:9464"},
		{"http://[fd00::1]", "[fd00::2]:7801", "http://[fd00::2]"},
	} {
		is.New(t).Equal(urlAtHost(tc.base, tc.addr), tc.want)
	}
}

// The list of holders of a fleet with many data centres, and names that are not one word, must leave
// the table with one field in each column.
func TestAccountCells(t *testing.T) {
	is := is.New(t)
	is.Equal(holderList([]string{"a:1", "b:1"}), "a:1,b:1")
	is.Equal(holderList([]string{"a:1", "b:1", "c:1", "d:1", "e:1", "f:1"}), "a:1,b:1,c:1,d:1,+2")
	is.Equal(accountName("orders-é"), "orders-é")
	is.Equal(accountName("night jobs"), `"night jobs"`)
	is.Equal(accountName("others"), `"others"`) // is not the sum of the rest
	is.Equal(accountName("a\u202eb"), `"a\u202eb"`)
	is.Equal(plainNumber(2.5), "2.5")
	is.Equal(plainNumber(1e6), "1000000")
}
