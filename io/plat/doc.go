// Package plat talks to the platform: its key-value service and its VM list.
//
// # Usage
//
//	kv := plat.New(plat.Config{Addrs: []string{"127.0.0.1:7800"}, Timeout: 2 * time.Second})
//	pairs, err := kv.Range(ctx, "teams/")
//
//	var pe *plat.Error
//	if _, err := kv.Swap(ctx, request); errors.As(err, &pe) && pe.Doubtful {
//		// read the key: the write may stand
//	}
//
// Nothing here tries a call again that may have had an effect; a call that got no
// connection goes on to the next address.
package plat
