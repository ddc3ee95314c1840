// Package errs holds error handling shared by all packages.
//
// # Usage
//
//	return errs.Wrap(server.Run(), "front.Serve")
package errs

import "github.com/go-faster/errors"

// Wrap adds the operation that an error comes from. Unlike the library's Wrap it returns nil for a
// nil error: with the library's, a server that had stopped as planned was logged as failed.
func Wrap(err error, op string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, op)
}
