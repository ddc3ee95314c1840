// Package fault has what the error types of all packages share.
//
// # Usage
//
//	return fault.Wrap(server.Run(), "front.Serve")
package fault

import "github.com/go-faster/errors"

// Wrap names the function that an error comes from. Unlike the library's own
// Wrap it leaves nil as nil: with that one, a server that stopped as planned
// was logged as failed.
func Wrap(err error, op string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, op)
}
