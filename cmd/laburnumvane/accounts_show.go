package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/urfave/cli/v3"

	"laburnumvane/core/quota"
	"laburnumvane/io/entry"
)

// maxHoldersListed limits the addresses of holders in a line of the table of accounts. There are up
// to two in each data centre.
const maxHoldersListed = 4

// printAccounts prints the largest accounts of a VM.
func printAccounts(cmd *cli.Command, au entry.AccountUsage) error {
	if cmd.Bool("json") {
		return printJSON(cmd, au)
	}
	showAccounts(cmd.Root().Writer, &au)
	return nil
}

func showAccounts(out io.Writer, au *entry.AccountUsage) {
	sourceTable(out, au.VM, au.Version, au.CopyAgeMs).flush()
	if len(au.Largest) == 0 {
		fmt.Fprintln(out, "\nno account with a limit was active on this VM lately")
	}
	others := au.Others != nil && *au.Others != quota.Usage{}
	if len(au.Largest) == 0 && !others {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "ACCOUNT", "LIMIT/S", "BURST", "REQUESTS/S", "GRANTED", "RETURNED", "OVER LIMIT", "NO HOLDER", "PART/S", "LEVEL", "HOLDERS")
	for i := range au.Largest {
		ac := &au.Largest[i]
		part, level := partOf(&ac.Usage)
		tbl.row(accountName(ac.Account), accountLimit(&ac.Usage), accountBurst(&ac.Usage), perSecond(ac.RequestRate),
			number(ac.Granted), number(ac.Returned), number(ac.Refused), number(ac.Unreachable), part, level, holderList(ac.Holders))
	}
	if others {
		ot := au.Others
		tbl.row("others", "", "", "", number(ot.Granted), number(ot.Returned), number(ot.Refused), number(ot.Unreachable), "", "", "")
	}
	tbl.flush()
}

// printAccount prints one account with the status of its holders.
func printAccount(cmd *cli.Command, rep *accountReply) error {
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	showAccount(cmd.Root().Writer, rep)
	return nil
}

func showAccount(out io.Writer, rep *accountReply) {
	us := &rep.Account.Usage
	tbl := sourceTable(out, rep.VM, rep.Version, rep.CopyAgeMs)
	tbl.row("account", accountName(us.Account))
	tbl.row("limit", limitText(us))
	tbl.row("on this VM", usageText(us))
	if len(rep.Holders) > 0 {
		tbl.row("parts read", partsText(rep))
	}
	tbl.flush()
	if len(rep.Holders) > 0 {
		fmt.Fprintln(out)
		showHolders(out, rep.Holders)
	}
}

func showHolders(out io.Writer, holders []holderReply) {
	tbl := newTable(out, "HOLDER", "STATE", "PART/S", "LEVEL", "REQUESTS/S", "GRANTED", "RETURNED", "OVER LIMIT", "NO HOLDER", "LENT", "VERSION", "COPY AGE", "WHY")
	for i := range holders {
		hr := &holders[i]
		why := string(hr.kind)
		if why == "" {
			why = hr.Error
		}
		switch {
		case hr.Account != nil:
			us := &hr.Account.Usage
			part, level := partOf(us)
			tbl.row(hr.Addr, string(hr.State), part, level, perSecond(us.RequestRate), number(us.Granted), number(us.Returned),
				number(us.Refused), number(us.Unreachable), perSecond(us.Lent), number(hr.Version), ageText(hr.CopyAgeMs), why)
		case hr.State == holderNoAccount:
			tbl.row(hr.Addr, string(hr.State), "", "", "", "", "", "", "", "", number(hr.Version), ageText(hr.CopyAgeMs), why)
		default:
			tbl.row(hr.Addr, string(hr.State), "", "", "", "", "", "", "", "", "", "", why)
		}
	}
	tbl.flush()
}

// sourceTable returns a table that begins with the VM from which the data comes, and its age.
func sourceTable(out io.Writer, vm string, version uint64, copyAgeMs int64) table {
	tbl := newTable(out)
	tbl.row("VM", vm)
	tbl.row("version", number(version))
	tbl.row("copy age", ageText(copyAgeMs))
	return tbl
}

// usageText describes the requests of an account on the VM that was asked. Those of an account
// without a limit are not counted.
func usageText(us *quota.Usage) string {
	if us.Limit == 0 {
		return "not counted"
	}
	return fmt.Sprintf("%s requests/s, %d granted, %d returned, %d over limit, %d without holder",
		perSecond(us.RequestRate), us.Granted, us.Returned, us.Refused, us.Unreachable)
}

// partsText adds up the parts of the limit that the holders reported.
func partsText(rep *accountReply) string {
	sum, known := 0.0, 0
	for _, hr := range rep.Holders {
		if hr.State == holderActive {
			sum += hr.Account.Part
			known++
		}
	}
	return fmt.Sprintf("%s/s of %s/s, from %d of %d holders", perSecond(sum), accountLimit(&rep.Account.Usage), known, len(rep.Holders))
}

func limitText(us *quota.Usage) string {
	if us.Limit == 0 {
		return accountLimit(us)
	}
	return fmt.Sprintf("%s/s, burst %s", accountLimit(us), accountBurst(us))
}

func accountLimit(us *quota.Usage) string {
	if us.Limit == 0 {
		return "no limit"
	}
	return plainNumber(us.Limit)
}

func accountBurst(us *quota.Usage) string {
	if us.Limit == 0 {
		return ""
	}
	return plainNumber(us.Burst)
}

// partOf formats a VM's part of a limit and its level, which are empty if the VM has none.
func partOf(us *quota.Usage) (part, level string) {
	if !us.Holder {
		return "", ""
	}
	return perSecond(us.Part), perSecond(us.Level)
}

// holderList lists addresses without spaces, for tools such as awk.
func holderList(addrs []string) string {
	if len(addrs) <= maxHoldersListed {
		return strings.Join(addrs, ",")
	}
	return fmt.Sprintf("%s,+%d", strings.Join(addrs[:maxHoldersListed], ","), len(addrs)-maxHoldersListed)
}

// accountName quotes a name that would not be one cell of a table.
func accountName(name string) string {
	odd := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if name == "others" || strings.ContainsFunc(name, odd) {
		return strconv.Quote(name)
	}
	return name
}

// plainNumber formats a number of the configuration as it is.
func plainNumber(val float64) string { return strconv.FormatFloat(val, 'f', -1, 64) }

func perSecond(val float64) string { return fmt.Sprintf("%.1f", val) }

// ageText formats an age in milliseconds; a negative one is unknown.
func ageText(ms int64) string {
	if ms < 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
