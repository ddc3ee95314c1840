// Package plat talks to the platform: its key-value service and its VM list.
//
// # Usage
//
//	kv := plat.New(plat.Config{Addrs: []string{"127.0.0.1:7800"}, Timeout: 2 * time.Second})
//	pairs, err := kv.Range(ctx, "teams/")
//
// A failed swap says whether it may have taken effect: Error.Doubtful.
package plat
