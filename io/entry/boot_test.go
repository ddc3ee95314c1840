package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/boot"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
)

// A client that reaches a VM while it boots must be served by it as soon as the VM has a
// configuration, and be refused if that takes too long.
func TestRequestsAwaitTheConfiguration(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		// arrives is set if the configuration arrives while the request waits, storeRefuses if
		// the store has refused to give a copy.
		arrives, storeRefuses, refused bool
	}{
		{"configuration arrives", time.Hour, true, false, false},
		{"client does not wait as long", 40 * time.Millisecond, false, false, true},
		{"store refuses this VM", time.Hour, false, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var view atomic.Pointer[plan.View]
			view.Store(plan.New(plan.Config{}))
			configured := make(chan struct{})
			en := &Entry{
				cfg:  Config{View: view.Load, Clock: func() time.Duration { return 0 }, Configured: configured},
				boot: boot.New(boot.Config{}),
			}
			en.ending, en.end = context.WithCancel(context.Background())
			defer en.end()
			if tc.storeRefuses {
				en.RecordBootRefusal()
			}
			if tc.arrives {
				go func() {
					view.Store(view.Load().WithRoutes(route.New(route.Config{})))
					close(configured)
				}()
			}
			rf := en.awaitConfiguration(context.Background(), &request{timeout: tc.timeout})
			is.Equal(rf != nil, tc.refused)
		})
	}
}
