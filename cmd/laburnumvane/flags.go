package main

import (
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"laburnumvane/io/client"
	"laburnumvane/io/setup"
)

// Default addresses of a VM on the same machine.
const (
	defaultCallerURL   = "http://" + setup.DefaultCallerAddr
	defaultOperatorURL = "http://" + setup.DefaultOperatorAddr
)

// maxInput is the most bytes that a command reads from a file or from standard input.
const maxInput = 16 << 20

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON, for scripts"}
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "team", Aliases: []string{"t"}, Required: true,
		Usage:   "the team's `NAME`",
		Sources: cli.EnvVars("LABURNUMVANE_TEAM"),
		// The library counts an empty environment variable as a value, so that Required does not
		// reject it.
		Validator: func(name string) error {
			if name == "" {
				return errors.New("a team's name is needed")
			}
			return nil
		},
	}
}

func timeoutFlag(def time.Duration) cli.Flag {
	return &cli.DurationFlag{
		Name: "timeout", Value: def,
		Usage:   "how long to wait for the VM, such as 2s",
		Sources: cli.EnvVars("LABURNUMVANE_TIMEOUT"),
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "token",
		Usage:   "bearer `TOKEN`; the variable keeps it out of the process list",
		Sources: cli.EnvVars("LABURNUMVANE_TOKEN"), HideDefault: true,
	}
}

// callerFlags returns the flags of all commands that connect to the callers' listener.
func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "url", Value: defaultCallerURL,
			Usage:   "the VM's listener for callers",
			Sources: cli.EnvVars("LABURNUMVANE_URL"),
		},
		tokenFlag(), timeoutFlag(client.DefaultTimeout), jsonFlag(),
	}, more...)
}

// operatorFlags returns the flags of all commands that connect to the operators' listener.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlagsWithin(client.DefaultTimeout, more...)
}

func operatorFlagsWithin(timeout time.Duration, more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "operator-url", Value: defaultOperatorURL,
			Usage:   "the VM's listener for operators",
			Sources: cli.EnvVars("LABURNUMVANE_OPERATOR_URL"),
		},
		tokenFlag(), timeoutFlag(timeout), jsonFlag(),
	}, more...)
}

func callerOf(cmd *cli.Command) (*client.Caller, error) {
	return client.NewCaller(client.Config{
		URL: cmd.String("url"), Token: cmd.String("token"), Timeout: cmd.Duration("timeout"),
	})
}

func operatorOf(cmd *cli.Command) (*client.Operator, error) {
	return client.NewOperator(client.Config{
		URL: cmd.String("operator-url"), Token: cmd.String("token"), Timeout: cmd.Duration("timeout"),
	})
}

// readInput reads a file, or standard input if the name is "-". Input above maxInput is an error.
func readInput(cmd *cli.Command, name string) ([]byte, error) {
	src := cmd.Root().Reader
	if name != "-" {
		fl, err := os.Open(name)
		if err != nil {
			return nil, failure(cmd.FullName(), err)
		}
		defer func() { _ = fl.Close() }()
		src = fl
	}
	raw, err := io.ReadAll(io.LimitReader(src, maxInput+1))
	if err != nil {
		return nil, failure(cmd.FullName(), err)
	}
	if len(raw) > maxInput {
		return nil, usageError(cmd.FullName(), "%s is longer than %d bytes", name, maxInput)
	}
	return raw, nil
}

// oneArg returns the argument of a command that takes exactly one; what names it in the error.
func oneArg(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError(cmd.FullName(), "wants one argument, %s, and got %d", what, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// noArgs rejects arguments, which the library would otherwise ignore.
func noArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(cmd.FullName(), "takes no argument, and got %s", cmd.Args().First())
	}
	return nil
}
