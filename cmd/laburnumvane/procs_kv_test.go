package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// The key-value service is down when a VM is killed and replaced by a new
// process, which has nothing but its settings. It must serve with the fleet's
// revision, which only its peers hold. Then the service is back from a backup
// that is older: an operator sees an alarm, and no VM takes its revision back.
func TestProcsServiceDownAndBackOlder(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	is.NoErr(wd.admin.KV(t.Context(), emul.KVFaultRequest{Remember: true}))
	rev := wd.edit(wd.vms[1], hitLimit(3))
	is.NoErr(wd.admin.KV(t.Context(), emul.KVFaultRequest{Down: true}))
	pushesRest(t, wd.vms)

	wd.vms[2].kill()
	wd.vms[2] = wd.boot(2)
	eventually(t, "the replacement has the configuration", func() bool { return wd.vms[2].revision() > 0 })
	is.Equal(wd.vms[2].revision(), rev)
	eventually(t, "the replacement searches the whole register", func() bool {
		an, err := wd.vms[2].caller.Search(t.Context(), wire.SearchRequest{Team: demoTeam, Search: "history", Query: []byte(`{"member":"m000042"}`)})
		return err == nil && an.Outcome == wire.OutcomeComplete && len(an.Hits) == 1
	})

	sam := sample(wd.vms)
	defer sam.end()
	is.NoErr(wd.admin.KV(t.Context(), emul.KVFaultRequest{Restore: true}))
	eventually(t, "an alarm says that the service is behind", func() bool {
		for _, vm := range wd.vms {
			for _, text := range vm.status().Alarms {
				if strings.Contains(text, "serviceBehind") || strings.Contains(text, "servicePast") {
					t.Logf("%s: %s", vm.name, text)
					return true
				}
			}
		}
		return false
	})
	for _, vm := range wd.vms {
		is.Equal(vm.revision(), rev)
	}
	is.True(wd.edit(wd.vms[0], hitLimit(4)) > rev)
	sam.end()
	is.Equal(sam.reverted, nil)
	is.True(sam.looks > 0)
}

// pushesRest waits until no VM has pushed a change for a hundred looks. A push
// still on its way would bring the replacement what it has to ask its peers for:
// the test passed without the asking until it waited here.
func pushesRest(t *testing.T, vms []*vmProc) {
	t.Helper()
	const enough = 100
	last, same := -1.0, 0
	eventually(t, "pushes have come to rest", func() bool {
		sum := 0.0
		for _, vm := range vms {
			sum += vm.metric(t, "config.pushed")
		}
		if sum != last {
			last, same = sum, 0
		}
		same++
		return same > enough
	})
}
