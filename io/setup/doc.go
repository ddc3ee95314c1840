// Package setup reads and checks the settings of laburnumvane serve: flags, and
// for each flag an environment variable. Nothing is read from a file, because
// the VMs have no disks.
//
// The variable of a flag is its name in capitals after LABURNUMVANE_, so that
// --caller-addr is LABURNUMVANE_CALLER_ADDR. A flag takes precedence over its
// variable, and an empty value means the default.
//
// # Usage
//
//	cmd := &cli.Command{
//		Name:  "serve",
//		Flags: setup.Flags(),
//		Action: func(ctx context.Context, cmd *cli.Command) error {
//			se, err := setup.FromCommand(cmd)
//			if err != nil {
//				return err
//			}
//			return serve(ctx, se.WithIncarnation(time.Now()))
//		},
//	}
//
// A program that embeds a VM starts with Defaults, sets fields and calls Check.
//
// # Errors
//
// FromCommand and Check report every wrong setting at once, since an operator
// who corrects one per start needs as many starts as there are mistakes. Each is
// an *Error on a separate line that names flag and variable; errors.As finds the
// first. No error contains the text of a token.
package setup
