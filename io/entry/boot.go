package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/boot"
)

// awaitConfiguration waits until this VM knows a configuration, as long as one is expected soon.
func (en *Entry) awaitConfiguration(ctx context.Context, rq *request) *refusal {
	if en.configured() {
		return nil
	}
	now := en.cfg.Clock()
	br := boot.Request{Bytes: len(rq.body)}
	if rq.timeout > 0 {
		br.Remaining = max(1, rq.timeout-(now-rq.began)-rq.transitTime)
	}
	if wait, ok := en.boot.Admit(now, br); ok {
		defer en.boot.Release(br)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-en.cfg.Configured:
		case <-timer.C:
		case <-ctx.Done():
		case <-en.ending.Done():
		}
	}
	if en.configured() {
		return nil
	}
	return refuse(consts.StatusServiceUnavailable, reasonNoRoutes, "this VM knows no configuration yet")
}

func (en *Entry) configured() bool { return en.cfg.View().Routes() != nil }

// RecordBootRefusal records that the store did not give this VM its first copy.
func (en *Entry) RecordBootRefusal() { en.boot.RecordRefusal() }
