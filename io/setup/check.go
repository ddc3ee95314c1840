package setup

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of the settings, both inclusive.
const (
	MinWorkers      = 1
	MaxWorkers      = 1_000_000
	MaxLogSample    = 1_000_000
	MinMaxBodyBytes = 1 << 10
	MaxMaxBodyBytes = 64 << 20
	MaxBalancerLag  = 5 * time.Minute
	MinMaxDeadline  = 10 * time.Millisecond
	MaxMaxDeadline  = 10 * time.Minute
	MaxStopGrace    = time.Hour
	MaxTicketTTL    = 24 * time.Hour
	MinTicketCap    = 1
	MaxTicketCap    = 10_000_000
	// MinTokenLen is the minimum length of a token in bytes. Shorter tokens can be found by trial
	// while a listener is up.
	MinTokenLen = 16
)

const opCheck = "setup.Check"

// checker collects the errors of settings. It adds none for flags in skip.
type checker struct {
	se   Settings
	skip map[string]bool
	errs []error
}

// Check returns the errors of all invalid settings, joined, each an *Error on a separate line. It
// returns nil if all settings are valid.
func (se Settings) Check() error {
	return errors.Join(se.check(nil)...)
}

// check returns the errors of all settings except those whose flags are in skip.
func (se Settings) check(skip map[string]bool) []error {
	ck := &checker{se: se, skip: skip}
	ck.listeners()
	ck.advertise()
	ck.location()
	ck.platform()
	ck.tokens()
	ck.work()
	ck.durations()
	return ck.errs
}

func (ck *checker) addError(flag string, kind Kind, format string, args ...any) {
	if ck.skip[flag] {
		return
	}
	ck.errs = append(ck.errs, &Error{Op: opCheck, Kind: kind, Flag: flag, Msg: fmt.Sprintf(format, args...)})
}

// addr parses ip:port and adds an error if that fails. It unmaps IPv4-mapped IPv6 addresses.
func (ck *checker) addr(flag, text string) (netip.AddrPort, bool) {
	if text == "" {
		ck.addError(flag, KindMissing, "is missing; give ip:port")
		return netip.AddrPort{}, false
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		ck.addError(flag, KindMalformed, "%q is not ip:port; a host name is not understood", text)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), true
}

// dialAddr checks an address that this VM or another one connects to.
func (ck *checker) dialAddr(flag, text string) {
	ap, ok := ck.addr(flag, text)
	if !ok {
		return
	}
	if ap.Port() == 0 {
		ck.addError(flag, KindRange, "%q has port 0, to which nobody can connect", text)
	}
	if ap.Addr().IsUnspecified() {
		ck.addError(flag, KindRange, "%q stands for any address, to which nobody can connect", text)
	}
}

func (ck *checker) listeners() {
	list := []struct{ flag, text string }{
		{FlagCallerAddr, ck.se.CallerAddr},
		{FlagOperatorAddr, ck.se.OperatorAddr},
		{FlagInnerAddr, ck.se.InnerAddr},
	}
	var seen []netip.AddrPort
	for _, ls := range list {
		ap, ok := ck.addr(ls.flag, ls.text)
		if !ok {
			continue
		}
		if slices.ContainsFunc(seen, func(other netip.AddrPort) bool { return overlap(ap, other) }) {
			ck.addError(ls.flag, KindConflict, "%q is taken by another listener of this VM", ls.text)
		}
		seen = append(seen, ap)
	}
}

// overlap reports whether two listeners need the same port of the same address.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (ck *checker) advertise() {
	if ck.se.AdvertiseAddr != "" {
		ck.dialAddr(FlagAdvertiseAddr, ck.se.AdvertiseAddr)
		return
	}
	ap, err := netip.ParseAddrPort(ck.se.InnerAddr)
	if err != nil {
		return // reported with the listeners
	}
	if ap.Port() == 0 || ap.Addr().Unmap().IsUnspecified() {
		ck.addError(FlagAdvertiseAddr, KindMissing, "is missing; other VMs cannot connect to the inner address %q", ck.se.InnerAddr)
	}
}

// namePattern matches names that can be used in keys of the key-value service and in logs.
func namePattern() *regexp.Regexp {
	return regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
}

const nameRule = "use 1 to 63 of a-z, 0-9 and -, not starting with -"

func (ck *checker) name(flag, text string) {
	if text == "" {
		ck.addError(flag, KindMissing, "is missing; give a name")
		return
	}
	if !namePattern().MatchString(text) {
		ck.addError(flag, KindMalformed, "%q is not a name; %s", text, nameRule)
	}
}

func (ck *checker) location() {
	ck.name(FlagDataCentre, ck.se.DataCentre)
	ck.name(FlagRegion, ck.se.Region)
}

func (ck *checker) platform() {
	if len(ck.se.KV) == 0 {
		ck.addError(FlagKV, KindMissing, "is missing; give at least one ip:port")
	}
	for i, addr := range ck.se.KV {
		ck.dialAddr(FlagKV, addr)
		if slices.Contains(ck.se.KV[:i], addr) {
			ck.addError(FlagKV, KindConflict, "%q is given twice", addr)
		}
	}
	ck.dialAddr(FlagVMList, ck.se.VMList)
}

func (ck *checker) tokens() {
	ck.operatorToken()
	owners := map[string]string{}
	if ck.se.TicketKey != "" && len(ck.se.TicketKey) < MinTokenLen {
		ck.addError(FlagTicketKey, KindUnsafe, "has under %d characters", MinTokenLen)
	}
	if ck.se.OperatorToken != "" {
		owners[ck.se.OperatorToken] = "the operators"
	}
	for _, team := range slices.Sorted(maps.Keys(ck.se.TeamTokens)) {
		ck.teamToken(team, owners)
	}
}

func (ck *checker) operatorToken() {
	ap, err := netip.ParseAddrPort(ck.se.OperatorAddr)
	if ck.se.OperatorToken == "" {
		if err == nil && !ap.Addr().Unmap().IsLoopback() {
			ck.addError(FlagOperatorToken, KindUnsafe, "is missing; the operators' listener %s can be reached from outside this VM", ap)
		}
		return
	}
	if len(ck.se.OperatorToken) < MinTokenLen {
		ck.addError(FlagOperatorToken, KindUnsafe, "has under %d characters", MinTokenLen)
	}
}

// teamToken checks a team's token. A token that another team or the operators have too is an error,
// as it would allow the team to change more than its own configuration.
func (ck *checker) teamToken(team string, owners map[string]string) {
	if !namePattern().MatchString(team) {
		ck.addError(FlagTeamTokens, KindMalformed, "%q is not a team's name; %s", team, nameRule)
	}
	token := ck.se.TeamTokens[team]
	if len(token) < MinTokenLen {
		ck.addError(FlagTeamTokens, KindUnsafe, "the token of team %q has under %d characters", team, MinTokenLen)
	}
	owner, taken := owners[token]
	if taken {
		ck.addError(FlagTeamTokens, KindUnsafe, "the token of team %q is also that of %s", team, owner)
	}
	owners[token] = fmt.Sprintf("team %q", team)
}

// logLevels returns the valid values of LogLevel.
func logLevels() []string {
	return []string{"trace", "debug", "info", "warn", "error"}
}

func (ck *checker) work() {
	if !slices.Contains(logLevels(), ck.se.LogLevel) {
		ck.addError(FlagLogLevel, KindMalformed, "%q is not one of %v", ck.se.LogLevel, logLevels())
	}
	checkRange(ck, FlagLogSample, ck.se.LogSample, 0, MaxLogSample)
	checkRange(ck, FlagWorkers, ck.se.Workers, MinWorkers, MaxWorkers)
	checkRange(ck, FlagMaxBodyBytes, ck.se.MaxBodyBytes, MinMaxBodyBytes, MaxMaxBodyBytes)
	checkRange(ck, FlagTicketCap, ck.se.TicketCap, MinTicketCap, MaxTicketCap)
}

func (ck *checker) durations() {
	checkRange(ck, FlagMaxDeadline, ck.se.MaxDeadline, MinMaxDeadline, MaxMaxDeadline)
	checkRange(ck, FlagBalancerLag, ck.se.BalancerLag, 0, MaxBalancerLag)
	checkRange(ck, FlagStopGrace, ck.se.StopGrace, 0, MaxStopGrace)
	checkRange(ck, FlagTicketTTL, ck.se.TicketTTL, 0, MaxTicketTTL)

	// A search accepted at the end of the balancer lag may run until its deadline. With a shorter
	// grace, a planned stop would cut it off.
	least := ck.se.BalancerLag + ck.se.MaxDeadline
	if ck.se.StopGrace < least {
		ck.addError(FlagStopGrace, KindConflict, "%s is under --%s and --%s together, %s", ck.se.StopGrace, FlagBalancerLag, FlagMaxDeadline, least)
	}
	// If a ticket expired while its search runs, the VM could no longer answer repeats of it.
	if ck.se.TicketTTL < ck.se.MaxDeadline {
		ck.addError(FlagTicketTTL, KindConflict, "%s is under --%s, %s", ck.se.TicketTTL, FlagMaxDeadline, ck.se.MaxDeadline)
	}
}

// checkRange adds an error unless least <= v <= most.
func checkRange[T int | time.Duration](ck *checker, flag string, v, least, most T) {
	if v < least || v > most {
		ck.addError(flag, KindRange, "%v is not between %v and %v", v, least, most)
	}
}
