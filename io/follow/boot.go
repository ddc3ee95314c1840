package follow

import (
	"context"
	"time"

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
		if as := fo.takenAsker(); as.addr != "" {
			bo.Name(fo.cfg.Clock(), as.addr)
		}
		st := bo.Next(fo.cfg.Clock())
		rp, err := fo.bootStep(ctx, st)
		switch {
		case err != nil:
			bo.Failed(fo.cfg.Clock(), st, rp)
		case bo.Tells(st):
			fo.tellSeeds(ctx)
		}
	}
}

// tellTime bounds the call by which a seed hears that this VM has a copy; after it the
// others have one from elsewhere.
const tellTime = 200 * time.Millisecond

// tellSeeds has the seeds know that this VM has a copy. It does not wait for them: some
// may have lost their power for good.
func (fo *Follower) tellSeeds(ctx context.Context) {
	after := fo.asOf()
	for _, addr := range fo.cfg.Seeds {
		fo.tells.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, tellTime)
			defer cancel()
			fo.cfg.Count("tell")
			// A seed that is not there yet hears of it from others.
			if _, err := fo.ask(bounded, addr, after, 0); err != nil {
				fo.cfg.Count("tellFailed")
			}
		})
	}
}

func (fo *Follower) asOf() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.AsOf()
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
