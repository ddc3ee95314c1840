package follow

import (
	"context"

	"laburnumvane/core/feed"
)

// boot asks seeds and the store until there is a copy.
func (fo *Follower) boot(ctx context.Context) {
	bo := feed.NewBoot(feed.BootConfig{
		Self:       fo.cfg.Self.Addr,
		Seeds:      fo.cfg.Seeds,
		FirstStart: fo.cfg.FirstStart,
		Rand:       fo.cfg.Rand,
		Now:        fo.cfg.Clock(),
	})
	for ctx.Err() == nil && !fo.known() {
		st := bo.Next(fo.cfg.Clock())
		if rp, err := fo.bootStep(ctx, st); err != nil {
			bo.Failed(fo.cfg.Clock(), st, rp)
		}
	}
}

func (fo *Follower) bootStep(ctx context.Context, st feed.Step) (feed.Report, error) {
	switch st.From {
	case feed.FromStore:
		return fo.fromStore(ctx)
	case feed.FromPeer:
		bounded, cancel := context.WithTimeout(ctx, st.Wait)
		defer cancel()
		return fo.fromPeer(bounded, st.Addr)
	}
	sleep(ctx, st.Wait)
	return feed.Report{}, nil
}

func (fo *Follower) known() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.Known()
}
