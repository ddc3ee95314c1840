package site

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

// writeKey writes a key that does not exist yet.
func (st *Site) writeKey(key string, value []byte) error {
	cl := plat.New(plat.Config{Addrs: []string{st.kv.Addr()}, Timeout: 5 * time.Second})
	defer cl.Close()
	rp, err := cl.Swap(context.Background(), wire.KVSwapRequest{Key: key, Value: value})
	if err != nil {
		return err
	}
	if !rp.Swapped {
		return errors.Errorf("key %s already exists", key)
	}
	return nil
}
