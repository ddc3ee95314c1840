package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/drive"
	"laburnumvane/io/wire"
)

// One of three VMs is killed under load, while a renewal runs there. Callers of
// the other two see no fault at all. Whoever asks them with a ticket of the dead
// VM, used or not, is told unknown and not "not run": nobody is left who knows.
// The upstreams' record, not any VM's word, shows that nothing ran twice.
func TestProcsKilledUnderLoad(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{
		vms: 3, serviceTime: 2 * time.Millisecond, hardDeadline: 20 * time.Second, serve: []string{"--max-deadline", "20s"},
	})
	doomed, left := wd.vms[0], wd.vms[1:]
	lo := startLoad(wd, 4, 3, wd.vms...)
	lo.flows(t, wd.vms...)

	unused := wd.ticket(doomed)
	running := renewal(wd.ticket(doomed), ownQuery("running", 0))
	wd.slow(500)
	aside := doomed.searchAside(running)
	eventually(t, "the renewal runs", func() bool { return wd.runs(running.Query).Total > 0 })
	doomed.kill()
	is.True((<-aside).err != nil)
	wd.slow(1)

	for _, vm := range left {
		for _, rq := range []wire.SearchRequest{running, renewal(unused, ownQuery("unused", 0))} {
			an, err := vm.caller.Search(t.Context(), rq)
			is.NoErr(err)
			is.Equal(an.Outcome, wire.OutcomeUnknown)
			is.Equal(an.Reason, drive.ReasonIssuerGone)
		}
	}
	lo.flows(t, left...)
	lo.end()
	is.Equal(lo.faultsOf(left...), nil)
	is.Equal(wd.runs(running.Query).MostOfShard, 1)
	is.Equal(wd.runs(ownQuery("unused", 0)).Total, uint64(0))
	lo.noneTwice(t)
}
