package wire

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// UnmarshalJSON rejects an impossible holding. The maps made from a holding allocate space for all
// its shards, so a server that claims two thousand million shards, or a negative number, would
// crash the VM.
func (sh *ShardHolding) UnmarshalJSON(raw []byte) error {
	type plain ShardHolding
	var pl plain
	if err := json.Unmarshal(raw, &pl); err != nil {
		return err
	}
	if pl.Shards < 1 || pl.Shards > MaxShards {
		return errors.Errorf("wire.ShardHolding: %d shards are not between 1 and %d", pl.Shards, MaxShards)
	}
	for _, shard := range pl.Held {
		if shard < 0 || shard >= pl.Shards {
			return errors.Errorf("wire.ShardHolding: shard %d of %d", shard, pl.Shards)
		}
	}
	*sh = ShardHolding(pl)
	return nil
}
