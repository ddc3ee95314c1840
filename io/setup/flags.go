package setup

import (
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Names of the flags.
const (
	FlagCallerAddr    = "caller-addr"
	FlagOperatorAddr  = "operator-addr"
	FlagInnerAddr     = "inner-addr"
	FlagAdvertiseAddr = "advertise-addr"
	FlagDataCentre    = "data-centre"
	FlagRegion        = "region"
	FlagKV            = "kv"
	FlagVMList        = "vm-list"
	FlagOperatorToken = "operator-token"
	FlagTicketKey     = "ticket-key"
	FlagTeamTokens    = "team-tokens"
	FlagLogLevel      = "log-level"
	FlagLogSample     = "log-sample"
	FlagWorkers       = "workers"
	FlagMaxBodyBytes  = "max-body-bytes"
	FlagBalancerLag   = "balancer-lag"
	FlagStopGrace     = "stop-grace"
	FlagMaxDeadline   = "max-deadline"
	FlagTicketTTL     = "ticket-ttl"
	FlagTicketCap     = "ticket-cap"
	FlagIncarnation   = "incarnation"
)

// Headings of the flags in the help text.
const (
	categoryAddr     = "Addresses"
	categoryLocation = "Place and platform"
	categoryToken    = "Operators"
	categoryWork     = "Work"
	categoryStop     = "Deadlines and stopping"
	categoryIdentity = "Identity"
)

// setting describes a flag and how its value is stored in Settings.
type setting struct {
	flag     string
	category string
	usage    string
	// defaultText is the default value as shown in the help text; empty shows none.
	defaultText string
	// set parses text and stores it in the field.
	set func(*Settings, string) error
	// setList is set for a flag that may be given several times; nil for other flags.
	setList func(*Settings, []string) error
}

// settings returns every setting in the order of the help text.
func settings() []setting {
	list := addrSettings()
	list = append(list, locationSettings()...)
	list = append(list, tokenSettings()...)
	list = append(list, workSettings()...)
	list = append(list, stopSettings()...)
	return append(list, setting{
		flag: FlagIncarnation, category: categoryIdentity, defaultText: "from the clock",
		usage: "`NUMBER` that tells this process from earlier ones at its address; must grow with each start",
		set:   func(se *Settings, s string) error { return setUint(&se.Incarnation, s) },
	})
}

func addrSettings() []setting {
	return []setting{
		{
			flag: FlagCallerAddr, category: categoryAddr, defaultText: DefaultCallerAddr,
			usage: "listen for callers on `IP:PORT`; port 0 takes a free one",
			set:   func(se *Settings, s string) error { return setText(&se.CallerAddr, s) },
		},
		{
			flag: FlagOperatorAddr, category: categoryAddr, defaultText: DefaultOperatorAddr,
			usage: "listen for operators on `IP:PORT`; beyond loopback it needs --" + FlagOperatorToken,
			set:   func(se *Settings, s string) error { return setText(&se.OperatorAddr, s) },
		},
		{
			flag: FlagInnerAddr, category: categoryAddr, defaultText: DefaultInnerAddr,
			usage: "listen for other VMs on `IP:PORT`",
			set:   func(se *Settings, s string) error { return setText(&se.InnerAddr, s) },
		},
		{
			flag: FlagAdvertiseAddr, category: categoryAddr, defaultText: "the inner address",
			usage: "tell other VMs to reach this one at `IP:PORT`",
			set:   func(se *Settings, s string) error { return setText(&se.AdvertiseAddr, s) },
		},
	}
}

func locationSettings() []setting {
	return []setting{
		{
			flag: FlagDataCentre, category: categoryLocation,
			usage: "`NAME` of this VM's data centre",
			set:   func(se *Settings, s string) error { return setText(&se.DataCentre, s) },
		},
		{
			flag: FlagRegion, category: categoryLocation,
			usage: "`NAME` of the data centre's region",
			set:   func(se *Settings, s string) error { return setText(&se.Region, s) },
		},
		{
			flag: FlagKV, category: categoryLocation,
			usage:   "addresses of the key-value service, `IP:PORT`; several by commas or by giving the flag again",
			setList: func(se *Settings, ss []string) error { return setList(&se.KV, ss) },
		},
		{
			flag: FlagVMList, category: categoryLocation,
			usage: "address of the VM list, `IP:PORT`",
			set:   func(se *Settings, s string) error { return setText(&se.VMList, s) },
		},
	}
}

func tokenSettings() []setting {
	return []setting{
		{
			flag: FlagTicketKey, category: categoryToken,
			usage: "secret `KEY` that signs tickets, the same on all VMs; without one a VM cannot check the tickets of others. Give it by the variable",
			set:   func(se *Settings, s string) error { return setText(&se.TicketKey, s) },
		},
		{
			flag: FlagOperatorToken, category: categoryToken,
			usage: "bearer `TOKEN` that allows everything; better given by its variable, as flags show in the process list",
			set:   func(se *Settings, s string) error { return setText(&se.OperatorToken, s) },
		},
		{
			flag: FlagTeamTokens, category: categoryToken,
			usage:   "`TEAM=TOKEN` pairs, each allowing changes to that team only; several by commas",
			setList: func(se *Settings, ss []string) error { return setPairs(&se.TeamTokens, ss) },
		},
	}
}

func workSettings() []setting {
	return []setting{
		{
			flag: FlagLogLevel, category: categoryWork, defaultText: DefaultLogLevel,
			usage: "least `LEVEL` that is logged: trace, debug, info, warn or error",
			set:   func(se *Settings, s string) error { return setText(&se.LogLevel, s) },
		},
		{
			flag: FlagLogSample, category: categoryWork, defaultText: formatInt(DefaultLogSample),
			usage: "log one in `NUMBER` of the complete searches; 0 for none. Others are all logged",
			set:   func(se *Settings, s string) error { return setInt(&se.LogSample, s) },
		},
		{
			flag: FlagWorkers, category: categoryWork, defaultText: formatInt(DefaultWorkers),
			usage: "`NUMBER` of goroutines for traffic",
			set:   func(se *Settings, s string) error { return setInt(&se.Workers, s) },
		},
		{
			flag: FlagMaxBodyBytes, category: categoryWork, defaultText: formatInt(DefaultMaxBodyBytes),
			usage: "largest body of a request, in `BYTES`; KiB and MiB are understood",
			set:   func(se *Settings, s string) error { return setBytes(&se.MaxBodyBytes, s) },
		},
		{
			flag: FlagTicketTTL, category: categoryWork, defaultText: DefaultTicketTTL.String(),
			usage: "`TIME` for which a ticket can be used and its answer be had again",
			set:   func(se *Settings, s string) error { return setDuration(&se.TicketTTL, s) },
		},
		{
			flag: FlagTicketCap, category: categoryWork, defaultText: formatInt(DefaultTicketCap),
			usage: "largest `NUMBER` of tickets remembered at once",
			set:   func(se *Settings, s string) error { return setInt(&se.TicketCap, s) },
		},
	}
}

func stopSettings() []setting {
	return []setting{
		{
			flag: FlagMaxDeadline, category: categoryStop, defaultText: DefaultMaxDeadline.String(),
			usage: "longest `TIME` that a caller may ask for as deadline",
			set:   func(se *Settings, s string) error { return setDuration(&se.MaxDeadline, s) },
		},
		{
			flag: FlagBalancerLag, category: categoryStop, defaultText: DefaultBalancerLag.String(),
			usage: "`TIME` for which the balancer may go on sending after health fails",
			set:   func(se *Settings, s string) error { return setDuration(&se.BalancerLag, s) },
		},
		{
			flag: FlagStopGrace, category: categoryStop, defaultText: DefaultStopGrace.String(),
			usage: "longest `TIME` from SIGTERM to the exit; at least balancer lag and longest deadline together",
			set:   func(se *Settings, s string) error { return setDuration(&se.StopGrace, s) },
		},
	}
}

// Flags returns the flags of serve. The command line's parser treats all values as text: with typed
// flags it would stop at the first value that it cannot parse and not report the others.
func Flags() []cli.Flag {
	list := settings()
	flags := make([]cli.Flag, 0, len(list))
	for _, st := range list {
		flags = append(flags, st.cliFlag())
	}
	return flags
}

func (st setting) cliFlag() cli.Flag {
	if st.setList != nil {
		return &cli.StringSliceFlag{
			Name:        st.flag,
			Category:    st.category,
			Usage:       st.usage,
			Sources:     cli.EnvVars(EnvVar(st.flag)),
			HideDefault: true,
		}
	}
	return &cli.StringFlag{
		Name:     st.flag,
		Category: st.category,
		Usage:    st.usage,
		Sources:  cli.EnvVars(EnvVar(st.flag)),
		// Without DefaultText the help would show the value of the environment variable as the
		// default, and so reveal the operators' token.
		DefaultText: st.defaultText,
		HideDefault: st.defaultText == "",
	}
}

// FromCommand returns the settings of a command whose flags are Flags. The error joins those of all
// values that cannot be parsed or are invalid, each an *Error.
func FromCommand(cmd *cli.Command) (Settings, error) {
	se := Defaults()
	var errs []error
	for _, st := range settings() {
		err := st.readFlag(&se, cmd)
		if err != nil {
			errs = append(errs, &Error{Op: "setup.FromCommand", Kind: KindMalformed, Flag: st.flag, Msg: err.Error()})
		}
	}
	// A setting that cannot be parsed keeps its default; it is left out of the check, as it is
	// already reported.
	errs = append(errs, se.check(unreadable(errs))...)
	return se, errors.Join(errs...)
}

// readFlag stores the value of the flag in the setting's field. An empty value keeps the default.
func (st setting) readFlag(se *Settings, cmd *cli.Command) error {
	if st.setList != nil {
		return st.setList(se, cmd.StringSlice(st.flag))
	}
	text := cmd.String(st.flag)
	if text == "" {
		return nil
	}
	return st.set(se, text)
}

// unreadable returns the flags whose values could not be parsed.
func unreadable(errs []error) map[string]bool {
	flags := make(map[string]bool, len(errs))
	for _, err := range errs {
		e, ok := errors.Into[*Error](err)
		if ok {
			flags[e.Flag] = true
		}
	}
	return flags
}
