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
	categoryPlace    = "Place and platform"
	categoryToken    = "Operators"
	categoryWork     = "Work"
	categoryStop     = "Deadlines and stopping"
	categoryIdentity = "Identity"
)

// setting ties a flag to the field that it fills.
type setting struct {
	flag     string
	category string
	usage    string
	// def is the default as the help text shows it.
	def string
	// put reads text into the field.
	put func(*Settings, string) error
	// putList is put for a flag that may be given several times.
	putList func(*Settings, []string) error
}

// settings lists every setting in the order of the help text.
func settings() []setting {
	list := addrSettings()
	list = append(list, placeSettings()...)
	list = append(list, tokenSettings()...)
	list = append(list, workSettings()...)
	list = append(list, stopSettings()...)
	return append(list, setting{
		flag: FlagIncarnation, category: categoryIdentity, def: "from the clock",
		usage: "`NUMBER` that tells this process from earlier ones at its address; must grow with each start",
		put:   func(se *Settings, s string) error { return putUint(&se.Incarnation, s) },
	})
}

func addrSettings() []setting {
	return []setting{
		{
			flag: FlagCallerAddr, category: categoryAddr, def: DefaultCallerAddr,
			usage: "listen for callers on `IP:PORT`; port 0 takes a free one",
			put:   func(se *Settings, s string) error { return putText(&se.CallerAddr, s) },
		},
		{
			flag: FlagOperatorAddr, category: categoryAddr, def: DefaultOperatorAddr,
			usage: "listen for operators on `IP:PORT`; beyond loopback it needs --" + FlagOperatorToken,
			put:   func(se *Settings, s string) error { return putText(&se.OperatorAddr, s) },
		},
		{
			flag: FlagInnerAddr, category: categoryAddr, def: DefaultInnerAddr,
			usage: "listen for other VMs on `IP:PORT`",
			put:   func(se *Settings, s string) error { return putText(&se.InnerAddr, s) },
		},
		{
			flag: FlagAdvertiseAddr, category: categoryAddr, def: "the inner address",
			usage: "tell other VMs to reach this one at `IP:PORT`",
			put:   func(se *Settings, s string) error { return putText(&se.AdvertiseAddr, s) },
		},
	}
}

func placeSettings() []setting {
	return []setting{
		{
			flag: FlagDataCentre, category: categoryPlace,
			usage: "`NAME` of this VM's data centre",
			put:   func(se *Settings, s string) error { return putText(&se.DataCentre, s) },
		},
		{
			flag: FlagRegion, category: categoryPlace,
			usage: "`NAME` of the data centre's region",
			put:   func(se *Settings, s string) error { return putText(&se.Region, s) },
		},
		{
			flag: FlagKV, category: categoryPlace,
			usage:   "addresses of the key-value service, `IP:PORT`; several by commas or by giving the flag again",
			putList: func(se *Settings, ss []string) error { return putList(&se.KV, ss) },
		},
		{
			flag: FlagVMList, category: categoryPlace,
			usage: "address of the VM list, `IP:PORT`",
			put:   func(se *Settings, s string) error { return putText(&se.VMList, s) },
		},
	}
}

func tokenSettings() []setting {
	return []setting{
		{
			flag: FlagTicketKey, category: categoryToken,
			usage: "secret `KEY` that signs tickets, the same on all VMs; without one a VM cannot check the tickets of others. Give it by the variable",
			put:   func(se *Settings, s string) error { return putText(&se.TicketKey, s) },
		},
		{
			flag: FlagOperatorToken, category: categoryToken,
			usage: "bearer `TOKEN` that allows everything; better given by its variable, as flags show in the process list",
			put:   func(se *Settings, s string) error { return putText(&se.OperatorToken, s) },
		},
		{
			flag: FlagTeamTokens, category: categoryToken,
			usage:   "`TEAM=TOKEN` pairs, each allowing changes to that team only; several by commas",
			putList: func(se *Settings, ss []string) error { return putPairs(&se.TeamTokens, ss) },
		},
	}
}

func workSettings() []setting {
	return []setting{
		{
			flag: FlagLogLevel, category: categoryWork, def: DefaultLogLevel,
			usage: "least `LEVEL` that is logged: trace, debug, info, warn or error",
			put:   func(se *Settings, s string) error { return putText(&se.LogLevel, s) },
		},
		{
			flag: FlagLogSample, category: categoryWork, def: formatInt(DefaultLogSample),
			usage: "log one in `NUMBER` of the complete searches; 0 for none. Others are all logged",
			put:   func(se *Settings, s string) error { return putInt(&se.LogSample, s) },
		},
		{
			flag: FlagWorkers, category: categoryWork, def: formatInt(DefaultWorkers),
			usage: "`NUMBER` of goroutines for traffic",
			put:   func(se *Settings, s string) error { return putInt(&se.Workers, s) },
		},
		{
			flag: FlagMaxBodyBytes, category: categoryWork, def: formatInt(DefaultMaxBodyBytes),
			usage: "largest body of a request, in `BYTES`; KiB and MiB are understood",
			put:   func(se *Settings, s string) error { return putBytes(&se.MaxBodyBytes, s) },
		},
		{
			flag: FlagTicketTTL, category: categoryWork, def: DefaultTicketTTL.String(),
			usage: "`TIME` for which a ticket can be used and its answer be had again",
			put:   func(se *Settings, s string) error { return putDuration(&se.TicketTTL, s) },
		},
		{
			flag: FlagTicketCap, category: categoryWork, def: formatInt(DefaultTicketCap),
			usage: "largest `NUMBER` of tickets remembered at once",
			put:   func(se *Settings, s string) error { return putInt(&se.TicketCap, s) },
		},
	}
}

func stopSettings() []setting {
	return []setting{
		{
			flag: FlagMaxDeadline, category: categoryStop, def: DefaultMaxDeadline.String(),
			usage: "longest `TIME` that a caller may ask for as deadline",
			put:   func(se *Settings, s string) error { return putDuration(&se.MaxDeadline, s) },
		},
		{
			flag: FlagBalancerLag, category: categoryStop, def: DefaultBalancerLag.String(),
			usage: "`TIME` for which the balancer may go on sending after health fails",
			put:   func(se *Settings, s string) error { return putDuration(&se.BalancerLag, s) },
		},
		{
			flag: FlagStopGrace, category: categoryStop, def: DefaultStopGrace.String(),
			usage: "longest `TIME` from SIGTERM to the exit; at least balancer lag and longest deadline together",
			put:   func(se *Settings, s string) error { return putDuration(&se.StopGrace, s) },
		},
	}
}

// Flags are the flags of serve. All are text as far as the command line's
// parser is concerned: a typed flag would end the start at the first value that
// cannot be read and leave the others unreported.
func Flags() []cli.Flag {
	list := settings()
	flags := make([]cli.Flag, 0, len(list))
	for _, st := range list {
		flags = append(flags, st.cliFlag())
	}
	return flags
}

func (st setting) cliFlag() cli.Flag {
	if st.putList != nil {
		return &cli.StringSliceFlag{
			Name:        st.flag,
			Category:    st.category,
			Usage:       st.usage,
			Sources:     cli.EnvVars(Variable(st.flag)),
			HideDefault: true,
		}
	}
	return &cli.StringFlag{
		Name:     st.flag,
		Category: st.category,
		Usage:    st.usage,
		Sources:  cli.EnvVars(Variable(st.flag)),
		// Without a text of its own the help would show the variable's
		// value as the default, and with it the operators' token.
		DefaultText: st.def,
		HideDefault: st.def == "",
	}
}

// FromCommand reads the settings of a command that has Flags, and checks them.
func FromCommand(cmd *cli.Command) (Settings, error) {
	se := Defaults()
	var errs []error
	for _, st := range settings() {
		err := st.read(&se, cmd)
		if err != nil {
			errs = append(errs, &Error{Op: "setup.FromCommand", Kind: KindMalformed, Flag: st.flag, Msg: err.Error()})
		}
	}
	// A setting that cannot be read keeps its default, which is not reported a
	// second time; the others are checked all the same.
	errs = append(errs, se.check(unread(errs))...)
	return se, errors.Join(errs...)
}

// read fills the setting's field; an empty value leaves the default.
func (st setting) read(se *Settings, cmd *cli.Command) error {
	if st.putList != nil {
		return st.putList(se, cmd.StringSlice(st.flag))
	}
	text := cmd.String(st.flag)
	if text == "" {
		return nil
	}
	return st.put(se, text)
}

// unread are the flags that could not be read.
func unread(errs []error) map[string]bool {
	flags := make(map[string]bool, len(errs))
	for _, err := range errs {
		e, ok := errors.Into[*Error](err)
		if ok {
			flags[e.Flag] = true
		}
	}
	return flags
}
