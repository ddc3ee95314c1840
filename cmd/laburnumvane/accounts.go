package main

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/client"
	"laburnumvane/io/entry"
)

const (
	// defaultMetricsURL has the port of the examples in gateway's help.
	defaultMetricsURL = "http://127.0.0.1:9464"
	// accountsTimeout is shorter than that of other commands: a holder that does not respond is shown
	// as such.
	accountsTimeout = 2 * time.Second
)

// accountReply is what accounts NAME prints with --json.
type accountReply struct {
	VM      string `json:"vm"`
	Version uint64 `json:"version"`
	// CopyAgeMs is negative if the VM does not report it.
	CopyAgeMs int64               `json:"copyAgeMs"`
	Account   entry.AccountStatus `json:"account"`
	Holders   []holderReply       `json:"holders"`
}

// holderState says what became known of a holder.
type holderState string

const (
	// holderActive: the VM has a part of the limit.
	holderActive holderState = "holder"
	// holderIdle: the VM can have a part, and the account was not active there lately.
	holderIdle holderState = "idle"
	// holderDiffers: the VM does not count itself as a holder, because it knows of other VMs.
	holderDiffers holderState = "notHolder"
	// holderNoAccount: the VM's version of the configuration does not have the account.
	holderNoAccount holderState = "unknownAccount"
	// holderOtherVM: another VM responded at the address.
	holderOtherVM holderState = "otherVM"
	// holderUnavailable: the VM's status could not be read.
	holderUnavailable holderState = "unavailable"
)

// holderReply is the status of an account's holder, as the holder itself reports it.
type holderReply struct {
	// Addr is the holder's inner address, URL the address at which its status was read.
	Addr    string      `json:"addr"`
	URL     string      `json:"url"`
	State   holderState `json:"state"`
	Error   string      `json:"error,omitempty"`
	Version uint64      `json:"version,omitempty"`
	// CopyAgeMs is negative if it is not known.
	CopyAgeMs int64 `json:"copyAgeMs"`
	// Account is nil if the holder's status could not be read, or does not have the account.
	Account *entry.AccountStatus `json:"account,omitempty"`

	kind client.Kind
}

func accountsCommand() *cli.Command {
	return &cli.Command{
		Name:      "accounts",
		Usage:     "show the limits of client accounts and their use",
		ArgsUsage: "[NAME]",
		Description: `Shows client accounts as one VM of "gateway" knows them: the limit of each, its
requests on this VM, how many of them were refused for the limit and why, and the
VMs that hold parts of the limit. Any VM that serves metrics can be asked. The
counters are those of this VM alone. The 50 accounts with most requests on it are
listed; "others" is the sum of the rest, and of accounts that had no request for a
minute: the counters of such an account begin anew with its next request.

With NAME it shows one account, and asks each VM that holds a part of its limit
for its own status. They are asked at the port of --metrics-url. A holder whose
status cannot be read is listed as "unavailable", and the command still succeeds.

   REQUESTS/S     requests in the last seconds, with those refused
   GRANTED        requests that the limit admitted, RETURNED those that did not run
   OVER LIMIT     refused with 429, reason overLimit
   NO HOLDER      refused with 503, reason noLimitHolder
   PART/S, LEVEL  the VM's part of the limit, and the requests it admits now; the
                  parts may add up to more than the limit, by the deviation
                  that the settings permit
   LENT           what the VM gave to other VMs
   COPY AGE       age of the VM's copy of the store, from which it has the
                  accounts and the holders

Refusals for other reasons are not counted by account, nor are requests of an
account without a limit: the log has them.

Exit codes: 0 shown, 1 the VM does not respond or has no such account, 2 wrong
flags or arguments.

Examples:
   laburnumvane accounts --metrics-url http://10.1.2.3:9464
   laburnumvane accounts orders --metrics-url http://10.1.2.3:9464
   laburnumvane accounts --json | jq -r '.accounts[] | select(.overLimit > 0) | .account'
   laburnumvane accounts orders --json | jq '[.holders[].account.partPerS] | add'`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "metrics-url", Value: defaultMetricsURL,
				Usage:   "the listener of metrics of any gateway VM",
				Sources: cli.EnvVars("LABURNUMVANE_METRICS_URL"),
			},
			timeoutFlag(accountsTimeout), jsonFlag(),
		},
		Action: accountsAction,
	}
}

func accountsAction(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	if cmd.Args().Len() > 1 || cmd.Args().Present() && name == "" {
		return usageError(cmd.FullName(), "takes one NAME at most, which must not be empty")
	}
	au, err := readAccounts(ctx, cmd, cmd.String("metrics-url"), name)
	if err != nil {
		return err
	}
	if name == "" {
		return printAccounts(cmd, au)
	}
	if len(au.Largest) == 0 {
		return &Error{Op: cmd.FullName(), Kind: KindFailure, Msg: fmt.Sprintf("VM %s has no account %q in version %d of the configuration", au.VM, name, au.Version)}
	}
	rep := accountReply{VM: au.VM, Version: au.Version, CopyAgeMs: au.CopyAgeMs, Account: au.Largest[0]}
	rep.Holders = readHolders(ctx, cmd, &au)
	return printAccount(cmd, &rep)
}

// readAccounts reads the status of one account, or of the largest ones if the name is empty. It opens
// a connection of its own.
func readAccounts(ctx context.Context, cmd *cli.Command, vmURL, name string) (entry.AccountUsage, error) {
	var au entry.AccountUsage
	gw, err := client.NewGateway(client.Config{URL: vmURL, Timeout: cmd.Duration("timeout")})
	if err != nil {
		return au, err
	}
	err = gw.Accounts(ctx, name, &au)
	if au.VM == "" {
		// An older build reports neither its address nor an age.
		au.CopyAgeMs = -1
	}
	return au, err
}

// readHolders asks the holders of an account for their own status, all at once. The status of the VM
// that listed them is known already.
func readHolders(ctx context.Context, cmd *cli.Command, au *entry.AccountUsage) []holderReply {
	base := cmd.String("metrics-url")
	account := au.Largest[0].Account
	replies := make([]holderReply, len(au.Holders))
	var wg sync.WaitGroup
	for i, addr := range au.Holders {
		if addr == au.VM {
			replies[i] = newHolderReply(addr, base, au, nil)
			continue
		}
		wg.Go(func() {
			vmURL := urlAtHost(base, addr)
			own, err := readAccounts(ctx, cmd, vmURL, account)
			replies[i] = newHolderReply(addr, vmURL, &own, err)
		})
	}
	wg.Wait()
	return replies
}

// urlAtHost replaces the host of a URL by that of an address and keeps the port: the VMs of a fleet
// serve metrics at the same port of different hosts.
func urlAtHost(base, addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	ur, err := url.Parse(base)
	if err != nil {
		return base
	}
	// JoinHostPort adds the brackets of an IPv6 address; it is given no port if the URL has none.
	ur.Host = strings.TrimSuffix(net.JoinHostPort(host, ur.Port()), ":")
	return ur.String()
}

// newHolderReply classifies what a holder replied.
func newHolderReply(addr, vmURL string, own *entry.AccountUsage, err error) holderReply {
	hr := holderReply{Addr: addr, URL: vmURL, CopyAgeMs: -1}
	if err != nil {
		hr.State, hr.Error, hr.kind = holderUnavailable, err.Error(), client.KindOf(err)
		return hr
	}
	if own.VM != "" && own.VM != addr {
		hr.State, hr.Error = holderOtherVM, "VM "+own.VM+" responded"
		return hr
	}
	hr.Version, hr.CopyAgeMs = own.Version, own.CopyAgeMs
	if len(own.Largest) == 0 {
		hr.State = holderNoAccount
		return hr
	}
	hr.Account = &own.Largest[0]
	switch {
	case hr.Account.Holder:
		hr.State = holderActive
	case slices.Contains(own.Holders, addr):
		hr.State = holderIdle
	default:
		hr.State = holderDiffers
	}
	return hr
}
