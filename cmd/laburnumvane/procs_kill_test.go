package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/drive"
	"laburnumvane/io/wire"
)

// One of three VMs is killed under load while it runs a renewal. Searches through the other two must
// not fail. A request to them with a ticket of the killed VM, used or not, is answered "unknown" and
// not "not run", as no remaining VM knows whether it ran. The record of the upstreams, not an answer
// of a VM, shows that nothing ran twice.
func TestProcsKilledUnderLoad(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{
		vms: 3, serviceTime: 2 * time.Millisecond, hardDeadline: 20 * time.Second, serve: []string{"--max-deadline", "20s"},
	})
	killed, remaining := clu.vms[0], clu.vms[1:]
	lo := startLoad(clu, 4, 3, clu.vms...)
	lo.awaitTraffic(t, clu.vms...)

	unused := clu.ticket(killed)
	running := renewal(clu.ticket(killed), uniqueQuery("running", 0))
	clu.setSlowdown(500)
	pending := killed.searchAsync(running)
	eventually(t, "the renewal runs", func() bool { return clu.runs(running.Query).Total > 0 })
	killed.kill()
	is.True((<-pending).err != nil)
	clu.setSlowdown(1)

	for _, vm := range remaining {
		for _, rq := range []wire.SearchRequest{running, renewal(unused, uniqueQuery("unused", 0))} {
			an, err := vm.caller.Search(t.Context(), rq)
			is.NoErr(err)
			is.Equal(an.Outcome, wire.OutcomeUnknown)
			is.Equal(an.Reason, drive.ReasonIssuerUnreachable)
		}
	}
	lo.awaitTraffic(t, remaining...)
	lo.end()
	is.Equal(lo.faultsOf(remaining...), nil)
	is.Equal(clu.runs(running.Query).MostOfShard, 1)
	is.Equal(clu.runs(uniqueQuery("unused", 0)).Total, uint64(0))
	lo.checkNoneRanTwice(t)
}
