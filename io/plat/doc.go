// Package plat is a client of the platform's key-value service and VM list.
//
// # Usage
//
//	kv := plat.New(plat.Config{Addrs: []string{"127.0.0.1:7800"}, Timeout: 2 * time.Second})
//	pairs, err := kv.Range(ctx, "teams/")
//
//	var pe *plat.Error
//	if _, err := kv.Swap(ctx, request); errors.As(err, &pe) && pe.MayHaveApplied {
//		// read the key: the write may have taken effect
//	}
//
// A call that may have taken effect is never retried. A call that got no connection is retried at
// the next address.
package plat
