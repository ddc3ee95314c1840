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

// Bounds of the settings.
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
	// MinTokenLen is the least length of a token in bytes. Shorter ones can be
	// guessed in the time that a listener stays up.
	MinTokenLen = 16
)

const opCheck = "setup.Check"

// checker collects what is wrong with settings.
type checker struct {
	se   Settings
	skip map[string]bool
	errs []error
}

// Check reports all wrong settings together, each as an *Error on a line of its
// own.
func (se Settings) Check() error {
	return errors.Join(se.check(nil)...)
}

// check leaves out the flags in skip.
func (se Settings) check(skip map[string]bool) []error {
	ck := &checker{se: se, skip: skip}
	ck.listeners()
	ck.advertise()
	ck.place()
	ck.platform()
	ck.tokens()
	ck.work()
	ck.times()
	return ck.errs
}

func (ck *checker) add(flag string, kind Kind, format string, args ...any) {
	if ck.skip[flag] {
		return
	}
	ck.errs = append(ck.errs, &Error{Op: opCheck, Kind: kind, Flag: flag, Msg: fmt.Sprintf(format, args...)})
}

// addr reads ip:port and reports what cannot be read.
func (ck *checker) addr(flag, text string) (netip.AddrPort, bool) {
	if text == "" {
		ck.add(flag, KindMissing, "is missing; give ip:port")
		return netip.AddrPort{}, false
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		ck.add(flag, KindMalformed, "%q is not ip:port; a host name is not understood", text)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), true
}

// dialled checks an address that this VM or another one connects to.
func (ck *checker) dialled(flag, text string) {
	ap, ok := ck.addr(flag, text)
	if !ok {
		return
	}
	if ap.Port() == 0 {
		ck.add(flag, KindRange, "%q has port 0, to which nobody can connect", text)
	}
	if ap.Addr().IsUnspecified() {
		ck.add(flag, KindRange, "%q stands for any address, to which nobody can connect", text)
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
			ck.add(ls.flag, KindConflict, "%q is taken by another listener of this VM", ls.text)
		}
		seen = append(seen, ap)
	}
}

// overlap tells whether two listeners would want the same socket.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (ck *checker) advertise() {
	if ck.se.AdvertiseAddr != "" {
		ck.dialled(FlagAdvertiseAddr, ck.se.AdvertiseAddr)
		return
	}
	ap, err := netip.ParseAddrPort(ck.se.InnerAddr)
	if err != nil {
		return // reported with the listeners
	}
	if ap.Port() == 0 || ap.Addr().Unmap().IsUnspecified() {
		ck.add(FlagAdvertiseAddr, KindMissing, "is missing; other VMs cannot connect to the inner address %q", ck.se.InnerAddr)
	}
}

// nameRE keeps names usable in keys of the key-value service and in logs.
func nameRE() *regexp.Regexp {
	return regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
}

const nameRule = "use 1 to 63 of a-z, 0-9 and -, not starting with -"

func (ck *checker) name(flag, text string) {
	if text == "" {
		ck.add(flag, KindMissing, "is missing; give a name")
		return
	}
	if !nameRE().MatchString(text) {
		ck.add(flag, KindMalformed, "%q is not a name; %s", text, nameRule)
	}
}

func (ck *checker) place() {
	ck.name(FlagDataCentre, ck.se.DataCentre)
	ck.name(FlagRegion, ck.se.Region)
}

func (ck *checker) platform() {
	if len(ck.se.KV) == 0 {
		ck.add(FlagKV, KindMissing, "is missing; give at least one ip:port")
	}
	for i, addr := range ck.se.KV {
		ck.dialled(FlagKV, addr)
		if slices.Contains(ck.se.KV[:i], addr) {
			ck.add(FlagKV, KindConflict, "%q is given twice", addr)
		}
	}
	ck.dialled(FlagVMList, ck.se.VMList)
}

func (ck *checker) tokens() {
	ck.operatorToken()
	owners := map[string]string{}
	if ck.se.TicketKey != "" && len(ck.se.TicketKey) < MinTokenLen {
		ck.add(FlagTicketKey, KindUnsafe, "has under %d characters", MinTokenLen)
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
			ck.add(FlagOperatorToken, KindUnsafe, "is missing; the operators' listener %s can be reached from outside this VM", ap)
		}
		return
	}
	if len(ck.se.OperatorToken) < MinTokenLen {
		ck.add(FlagOperatorToken, KindUnsafe, "has under %d characters", MinTokenLen)
	}
}

// teamToken checks one team's token. One that is also somebody else's is
// refused, as it would let the team change more than its own subtree.
func (ck *checker) teamToken(team string, owners map[string]string) {
	if !nameRE().MatchString(team) {
		ck.add(FlagTeamTokens, KindMalformed, "%q is not a team's name; %s", team, nameRule)
	}
	token := ck.se.TeamTokens[team]
	if len(token) < MinTokenLen {
		ck.add(FlagTeamTokens, KindUnsafe, "the token of team %q has under %d characters", team, MinTokenLen)
	}
	owner, taken := owners[token]
	if taken {
		ck.add(FlagTeamTokens, KindUnsafe, "the token of team %q is also that of %s", team, owner)
	}
	owners[token] = fmt.Sprintf("team %q", team)
}

// levels are the values of LogLevel.
func levels() []string {
	return []string{"trace", "debug", "info", "warn", "error"}
}

func (ck *checker) work() {
	if !slices.Contains(levels(), ck.se.LogLevel) {
		ck.add(FlagLogLevel, KindMalformed, "%q is not one of %v", ck.se.LogLevel, levels())
	}
	within(ck, FlagLogSample, ck.se.LogSample, 0, MaxLogSample)
	within(ck, FlagWorkers, ck.se.Workers, MinWorkers, MaxWorkers)
	within(ck, FlagMaxBodyBytes, ck.se.MaxBodyBytes, MinMaxBodyBytes, MaxMaxBodyBytes)
	within(ck, FlagTicketCap, ck.se.TicketCap, MinTicketCap, MaxTicketCap)
}

func (ck *checker) times() {
	within(ck, FlagMaxDeadline, ck.se.MaxDeadline, MinMaxDeadline, MaxMaxDeadline)
	within(ck, FlagBalancerLag, ck.se.BalancerLag, 0, MaxBalancerLag)
	within(ck, FlagStopGrace, ck.se.StopGrace, 0, MaxStopGrace)
	within(ck, FlagTicketTTL, ck.se.TicketTTL, 0, MaxTicketTTL)

	// A search accepted in the last moment of the lag may run for its whole
	// deadline; an earlier exit would cut it off in a planned stop.
	least := ck.se.BalancerLag + ck.se.MaxDeadline
	if ck.se.StopGrace < least {
		ck.add(FlagStopGrace, KindConflict, "%s is under --%s and --%s together, %s", ck.se.StopGrace, FlagBalancerLag, FlagMaxDeadline, least)
	}
	// A ticket forgotten while its search runs could not be answered for.
	if ck.se.TicketTTL < ck.se.MaxDeadline {
		ck.add(FlagTicketTTL, KindConflict, "%s is under --%s, %s", ck.se.TicketTTL, FlagMaxDeadline, ck.se.MaxDeadline)
	}
}

// within checks least <= v <= most.
func within[T int | time.Duration](ck *checker, flag string, v, least, most T) {
	if v < least || v > most {
		ck.add(flag, KindRange, "%v is not between %v and %v", v, least, most)
	}
}
