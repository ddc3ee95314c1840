package setup_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"laburnumvane/io/setup"
)

const (
	tokenA = "aaaaaaaaaaaaaaaa"
	tokenB = "bbbbbbbbbbbbbbbb"
)

// requiredVariables returns the environment variables that serve cannot start without.
func requiredVariables() map[string]string {
	return map[string]string{
		"LABURNUMVANE_DATA_CENTRE": "north-1",
		"LABURNUMVANE_REGION":      "north",
		"LABURNUMVANE_KV":          "127.0.0.1:2379",
		"LABURNUMVANE_VM_LIST":     "127.0.0.1:2380",
	}
}

// runCommand runs a command with the settings' flags and returns the settings. It sets every variable,
// so that the machine's environment has no effect.
func runCommand(t *testing.T, env map[string]string, args ...string) (setup.Settings, error) {
	t.Helper()
	for _, flag := range flagNames() {
		t.Setenv(setup.EnvVar(flag), "")
	}
	for name, value := range env {
		t.Setenv(name, value)
	}
	var se setup.Settings
	cmd := &cli.Command{
		Name:      "serve",
		Flags:     setup.Flags(),
		Writer:    io.Discard,
		ErrWriter: io.Discard,
		Action: func(_ context.Context, cmd *cli.Command) error {
			var err error
			se, err = setup.FromCommand(cmd)
			return err
		},
	}
	err := cmd.Run(t.Context(), append([]string{"serve"}, args...))
	return se, err
}

func flagNames() []string {
	var names []string
	for _, flag := range setup.Flags() {
		names = append(names, flag.Names()...)
	}
	return names
}

func validSettings() setup.Settings {
	se := setup.Defaults()
	se.DataCentre = "north-1"
	se.Region = "north"
	se.KV = []string{"127.0.0.1:2379"}
	se.VMList = "127.0.0.1:2380"
	return se
}

func TestFromCommand(t *testing.T) {
	tests := []struct {
		name string
		env  map[string]string
		args []string
		want func(*setup.Settings)
	}{
		{"required settings only", nil, nil, func(*setup.Settings) {}},
		{
			"flag takes precedence over variable",
			map[string]string{"LABURNUMVANE_WORKERS": "7"},
			[]string{"--workers", "8"},
			func(se *setup.Settings) { se.Workers = 8 },
		},
		{
			"empty variable is the default",
			map[string]string{"LABURNUMVANE_WORKERS": "", "LABURNUMVANE_LOG_LEVEL": ""},
			nil,
			func(*setup.Settings) {},
		},
		{
			"lists",
			map[string]string{"LABURNUMVANE_KV": "127.0.0.1:1, 127.0.0.1:2,"},
			nil,
			func(se *setup.Settings) { se.KV = []string{"127.0.0.1:1", "127.0.0.1:2"} },
		},
		{
			"flag given twice",
			nil,
			[]string{"--kv", "127.0.0.1:1", "--kv", "[::1]:2"},
			func(se *setup.Settings) { se.KV = []string{"127.0.0.1:1", "[::1]:2"} },
		},
		{
			"pairs; a token may hold =",
			map[string]string{"LABURNUMVANE_TEAM_TOKENS": "wash=" + tokenA + "=,pension=" + tokenB},
			nil,
			func(se *setup.Settings) {
				se.TeamTokens = map[string]string{"wash": tokenA + "=", "pension": tokenB}
			},
		},
		{
			"units",
			nil,
			[]string{"--max-body-bytes", "512KiB", "--balancer-lag", "1500ms"},
			func(se *setup.Settings) {
				se.MaxBodyBytes = 512 << 10
				se.BalancerLag = 1500 * time.Millisecond
			},
		},
		{
			"all addresses",
			map[string]string{"LABURNUMVANE_OPERATOR_TOKEN": tokenA},
			[]string{"--caller-addr", "0.0.0.0:1", "--operator-addr", "10.0.0.1:2", "--inner-addr", "0.0.0.0:3", "--advertise-addr", "10.0.0.1:3"},
			func(se *setup.Settings) {
				se.CallerAddr = "0.0.0.0:1"
				se.OperatorAddr = "10.0.0.1:2"
				se.InnerAddr = "0.0.0.0:3"
				se.AdvertiseAddr = "10.0.0.1:3"
				se.OperatorToken = tokenA
			},
		},
		{
			"other settings",
			nil,
			[]string{
				"--log-level", "debug", "--max-deadline", "2s", "--stop-grace", "10s",
				"--ticket-ttl", "1m", "--ticket-cap", "9", "--incarnation", "18446744073709551615",
			},
			func(se *setup.Settings) {
				se.LogLevel = "debug"
				se.MaxDeadline = 2 * time.Second
				se.StopGrace = 10 * time.Second
				se.TicketTTL = time.Minute
				se.TicketCap = 9
				se.Incarnation = 1<<64 - 1
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			env := requiredVariables()
			maps.Copy(env, tt.env)
			want := validSettings()
			want.TeamTokens = map[string]string{}
			tt.want(&want)

			se, err := runCommand(t, env, tt.args...)
			is.NoErr(err)
			is.Equal(se, want)
		})
	}
}

// A start with six mistakes must print six lines, each with the flag and the variable to change.
// Values that cannot be parsed and values that are invalid are reported together: the former must not
// hide the latter.
func TestFromCommandReportsAll(t *testing.T) {
	is := is.New(t)
	_, err := runCommand(t, map[string]string{
		"LABURNUMVANE_WORKERS":      "many",
		"LABURNUMVANE_BALANCER_LAG": "5",
		"LABURNUMVANE_TEAM_TOKENS":  tokenA,
		"LABURNUMVANE_REGION":       "North!",
		"LABURNUMVANE_VM_LIST":      "list.example:80",
	}, "--data-centre", "north-1")
	is.True(err != nil)
	is.Equal(strings.Split(err.Error(), "\n"), []string{
		`setup.FromCommand: --team-tokens (LABURNUMVANE_TEAM_TOKENS): pair 1 has no =; write TEAM=TOKEN`,
		`setup.FromCommand: --workers (LABURNUMVANE_WORKERS): "many" is not a whole number`,
		`setup.FromCommand: --balancer-lag (LABURNUMVANE_BALANCER_LAG): "5" is not a time with a unit, such as 500ms, 30s or 5m`,
		`setup.Check: --region (LABURNUMVANE_REGION): "North!" is not a name; use 1 to 63 of a-z, 0-9 and -, not starting with -`,
		`setup.Check: --kv (LABURNUMVANE_KV): is missing; give at least one ip:port`,
		`setup.Check: --vm-list (LABURNUMVANE_VM_LIST): "list.example:80" is not ip:port; a host name is not understood`,
	})
}

func TestCheck(t *testing.T) {
	type fault struct {
		flag string
		kind setup.Kind
	}
	tests := []struct {
		name   string
		change func(*setup.Settings)
		want   []fault
	}{
		{"valid", func(*setup.Settings) {}, nil},
		{
			"defaults only",
			func(se *setup.Settings) { *se = setup.Defaults() },
			[]fault{
				{"data-centre", setup.KindMissing},
				{"region", setup.KindMissing},
				{"kv", setup.KindMissing},
				{"vm-list", setup.KindMissing},
			},
		},
		{
			"operators' listener not on loopback, no token",
			func(se *setup.Settings) { se.OperatorAddr = "10.0.0.1:7702" },
			[]fault{{"operator-token", setup.KindUnsafe}},
		},
		{
			"operators' listener on the unspecified address, no token",
			func(se *setup.Settings) { se.OperatorAddr = "[::]:7702" },
			[]fault{{"operator-token", setup.KindUnsafe}},
		},
		{
			"team tokens do not replace the operators' token",
			func(se *setup.Settings) {
				se.OperatorAddr = "0.0.0.0:7702"
				se.TeamTokens = map[string]string{"wash": tokenA}
			},
			[]fault{{"operator-token", setup.KindUnsafe}},
		},
		{
			"operators' listener on loopback as an IPv4-mapped IPv6 address",
			func(se *setup.Settings) { se.OperatorAddr = "[::ffff:127.0.0.1]:7702" },
			nil,
		},
		{
			"tokens too short",
			func(se *setup.Settings) {
				se.OperatorToken = "short"
				se.TeamTokens = map[string]string{"wash": ""}
			},
			[]fault{{"operator-token", setup.KindUnsafe}, {"team-tokens", setup.KindUnsafe}},
		},
		{
			"team with the operators' token, two teams with the same token",
			func(se *setup.Settings) {
				se.OperatorToken = tokenA
				se.TeamTokens = map[string]string{"a": tokenA, "b": tokenB, "c": tokenB}
			},
			[]fault{{"team-tokens", setup.KindUnsafe}, {"team-tokens", setup.KindUnsafe}},
		},
		{
			"invalid team name",
			func(se *setup.Settings) { se.TeamTokens = map[string]string{"a/b": tokenA} },
			[]fault{{"team-tokens", setup.KindMalformed}},
		},
		{
			"two listeners on the same port",
			func(se *setup.Settings) {
				se.CallerAddr = "0.0.0.0:80"
				se.OperatorAddr = "127.0.0.1:80"
			},
			[]fault{{"operator-addr", setup.KindConflict}},
		},
		{
			"two listeners on port 0",
			func(se *setup.Settings) {
				se.CallerAddr = "127.0.0.1:0"
				se.OperatorAddr = "127.0.0.1:0"
			},
			nil,
		},
		{
			"listener addresses that cannot be parsed",
			func(se *setup.Settings) {
				se.CallerAddr = ""
				se.OperatorAddr = "localhost:80"
				se.InnerAddr = "127.0.0.1"
			},
			[]fault{
				{"caller-addr", setup.KindMissing},
				{"operator-addr", setup.KindMalformed},
				{"inner-addr", setup.KindMalformed},
			},
		},
		{
			"inner address that cannot be dialled, no advertised address",
			func(se *setup.Settings) { se.InnerAddr = "0.0.0.0:7703" },
			[]fault{{"advertise-addr", setup.KindMissing}},
		},
		{
			"inner port 0, no advertised address",
			func(se *setup.Settings) { se.InnerAddr = "127.0.0.1:0" },
			[]fault{{"advertise-addr", setup.KindMissing}},
		},
		{
			"addresses that cannot be dialled",
			func(se *setup.Settings) {
				se.AdvertiseAddr = "0.0.0.0:7703"
				se.KV = []string{"127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1"}
			},
			[]fault{{"advertise-addr", setup.KindRange}, {"kv", setup.KindRange}, {"kv", setup.KindConflict}},
		},
		{
			"unknown log level",
			func(se *setup.Settings) { se.LogLevel = "INFO" },
			[]fault{{"log-level", setup.KindMalformed}},
		},
		{
			"numbers too small",
			func(se *setup.Settings) {
				se.LogSample = -1
				se.Workers = 0
				se.MaxBodyBytes = 1023
				se.TicketCap = 0
				se.MaxDeadline = time.Millisecond
				se.BalancerLag = -time.Second
			},
			[]fault{
				{"log-sample", setup.KindRange},
				{"workers", setup.KindRange},
				{"max-body-bytes", setup.KindRange},
				{"ticket-cap", setup.KindRange},
				{"max-deadline", setup.KindRange},
				{"balancer-lag", setup.KindRange},
			},
		},
		{
			"numbers too large",
			func(se *setup.Settings) {
				se.Workers = 1_000_001
				se.MaxBodyBytes = 64<<20 + 1
				se.TicketCap = 10_000_001
				se.StopGrace = time.Hour + 1
				se.TicketTTL = 24*time.Hour + 1
			},
			[]fault{
				{"workers", setup.KindRange},
				{"max-body-bytes", setup.KindRange},
				{"ticket-cap", setup.KindRange},
				{"stop-grace", setup.KindRange},
				{"ticket-ttl", setup.KindRange},
			},
		},
		{
			"stop grace shorter than balancer lag and longest deadline",
			func(se *setup.Settings) { se.StopGrace = se.BalancerLag + se.MaxDeadline - 1 },
			[]fault{{"stop-grace", setup.KindConflict}},
		},
		{
			"ticket expires before its search's deadline",
			func(se *setup.Settings) { se.TicketTTL = se.MaxDeadline - 1 },
			[]fault{{"ticket-ttl", setup.KindConflict}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			se := validSettings()
			tt.change(&se)
			var got []fault
			for _, e := range splitErrors(se.Check()) {
				got = append(got, fault{e.Flag, e.Kind})
			}
			is.Equal(got, tt.want)
		})
	}
}

// splitErrors returns the errors joined in err, each as an *Error.
func splitErrors(err error) []*setup.Error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	var list []*setup.Error
	for _, one := range joined.Unwrap() {
		e, _ := errors.Into[*setup.Error](one)
		list = append(list, e)
	}
	return list
}

// Neither the errors of a failed start nor the help text, printed while the variables are set, may
// contain a token: tokens remain valid after the VM is gone.
func TestTokensStaySecret(t *testing.T) {
	is := is.New(t)
	const secret = "hushhush"
	_, err := runCommand(t, map[string]string{
		"LABURNUMVANE_OPERATOR_TOKEN": secret,
		"LABURNUMVANE_TEAM_TOKENS":    secret + ",wash=" + secret,
	})
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), secret))

	var help strings.Builder
	cmd := &cli.Command{Name: "serve", Flags: setup.Flags(), Writer: &help}
	is.NoErr(cmd.Run(t.Context(), []string{"serve", "--help"}))
	is.True(strings.Contains(help.String(), "--operator-token"))
	is.True(!strings.Contains(help.String(), secret))
}

func TestFlagsHaveVariablesAndHelp(t *testing.T) {
	is := is.New(t)
	var help strings.Builder
	cmd := &cli.Command{Name: "serve", Flags: setup.Flags(), Writer: &help}
	is.NoErr(cmd.Run(t.Context(), []string{"serve", "--help"}))

	names := flagNames()
	is.Equal(len(names), 21)
	is.Equal(len(slices.Compact(slices.Sorted(slices.Values(names)))), 21)
	for _, name := range names {
		is.True(strings.Contains(help.String(), "--"+name+" "))
		is.True(strings.Contains(help.String(), "$"+setup.EnvVar(name)))
	}
}

func TestAdvertised(t *testing.T) {
	is := is.New(t)
	se := validSettings()
	is.Equal(se.Advertised(), setup.DefaultInnerAddr)
	se.AdvertiseAddr = "10.0.0.1:7703"
	is.Equal(se.Advertised(), "10.0.0.1:7703")
}

func TestWithIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.UnixMicro(1_700_000_000_000_001)
	is.Equal(validSettings().WithIncarnation(now).Incarnation, uint64(1_700_000_000_000_001))
	se := validSettings()
	se.Incarnation = 5
	is.Equal(se.WithIncarnation(now).Incarnation, uint64(5))
}
