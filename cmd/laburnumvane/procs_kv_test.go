package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// While the key-value service is down, a VM is killed and replaced by a new process, which has only
// its settings. The new process must serve with the fleet's revision, which it can get only from its
// peers. Then the service comes back from an older backup: an alarm must be raised, and no VM's
// revision may decrease.
func TestProcsServiceDownAndBackOlder(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{Remember: true}))
	rev := clu.changeConfig(clu.vms[1], setHitLimit(3))
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{Down: true}))
	awaitPushesIdle(t, clu.vms)

	clu.vms[2].kill()
	clu.vms[2] = clu.startVM(2)
	eventually(t, "the replacement has the configuration", func() bool { return clu.vms[2].revision() > 0 })
	is.Equal(clu.vms[2].revision(), rev)
	eventually(t, "the replacement searches the whole register", func() bool {
		an, err := clu.vms[2].caller.Search(t.Context(), wire.SearchRequest{Team: demoTeam, Search: "history", Query: []byte(`{"member":"m000042"}`)})
		return err == nil && an.Outcome == wire.OutcomeComplete && len(an.Hits) == 1
	})

	mon := monitorRevisions(clu.vms)
	defer mon.end()
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{Restore: true}))
	eventually(t, "an alarm says that the service is behind", func() bool {
		for _, vm := range clu.vms {
			for _, text := range vm.status().Alarms {
				if strings.Contains(text, "serviceBehind") || strings.Contains(text, "servicePast") {
					t.Logf("%s: %s", vm.name, text)
					return true
				}
			}
		}
		return false
	})
	for _, vm := range clu.vms {
		is.Equal(vm.revision(), rev)
	}
	is.True(clu.changeConfig(clu.vms[0], setHitLimit(4)) > rev)
	mon.end()
	is.Equal(mon.decreases, nil)
	is.True(mon.samples > 0)
}

// awaitPushesIdle waits until no VM has pushed a change for a hundred polls. A push still in transit
// would give the replacement the revision that it has to request from its peers: without this wait,
// the test passed even if no such request was made.
func awaitPushesIdle(t *testing.T, vms []*vmProc) {
	t.Helper()
	const idlePolls = 100
	last, same := -1.0, 0
	eventually(t, "no more changes are pushed", func() bool {
		sum := 0.0
		for _, vm := range vms {
			sum += vm.metric(t, "config.pushed")
		}
		if sum != last {
			last, same = sum, 0
		}
		same++
		return same > idlePolls
	})
}
