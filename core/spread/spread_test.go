package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

// countInForce counts the VMs on which a change, or a later one, is in force.
func (fl *fleet) countInForce(up Update) int {
	n := 0
	for _, v := range fl.vms {
		if v.inForce[up.Team].Revision >= up.Revision {
			n++
		}
	}
	return n
}

func (fl *fleet) regression() string {
	for _, v := range fl.vms {
		if v.regression != "" {
			return v.regression
		}
	}
	return ""
}

func TestFaults(t *testing.T) {
	// A fault begins while one change is in force. Then a second change is accepted, by the
	// service and through one VM unless serviceOnly is set. It must be in force on every VM within
	// the given time, no VM may return to a lower revision, and the service must get few calls.
	cutOff := func(fl *fleet) {
		fl.cut = func(a, b string) bool { return (a == "dc1") != (b == "dc1") }
	}
	cases := []struct {
		name  string
		fault func(fl *fleet)
		// serviceOnly makes the change reach only the service, as when the VM that wrote it there
		// died.
		quiet  bool
		within time.Duration
		reach  int // VMs out of 12; 0 for all
	}{
		{"none", func(*fleet) {}, false, time.Second, 0},
		{"change in service only", func(*fleet) {}, true, time.Second, 0},
		{"fifth of messages lost", func(fl *fleet) { fl.link.Loss = 0.2 }, false, 6 * time.Second, 0},
		{"messages overtake each other", func(fl *fleet) { fl.link.Jitter = 2 * time.Second }, false, 8 * time.Second, 0},
		{"watches hang", func(fl *fleet) { fl.service.watchesHang = true }, false, 2 * time.Second, 0},
		{"watches hang for a minute, change in service only", func(fl *fleet) {
			fl.service.watchesHang = true
			fl.After(time.Minute, func() { fl.service.watchesHang = false })
		}, true, 2 * time.Minute, 0},
		{"watches hang, change in service only", func(fl *fleet) { fl.service.watchesHang = true }, true, 8 * time.Minute, 0},
		{"events compacted", func(fl *fleet) { fl.After(time.Second, fl.service.compact) }, true, 15 * time.Second, 0},
		{"service slow by 10 s", func(fl *fleet) { fl.service.slow = 10 * time.Second }, false, 2 * time.Second, 0},
		{"service slow by 10 s, change in service only", func(fl *fleet) { fl.service.slow = 10 * time.Second }, true, time.Minute, 0},
		{"service returns past values", func(fl *fleet) { fl.service.stale = fl.service.copy() }, false, 2 * time.Second, 0},
		{"watching VMs of a data centre paused", func(fl *fleet) {
			for _, vm := range fl.vms[0].ma.Table().Ranked("dc1")[:2] {
				fl.find(vm.Addr).paused = true
			}
		}, false, 5 * time.Second, 10},
		{"data centre cut off from service only", func(fl *fleet) {
			fl.cut = func(a, b string) bool { return a == "dc1" && b == "service" }
		}, true, 8 * time.Second, 0},
		{"data centre cut off", cutOff, false, 5 * time.Second, 8},
		{"data centre cut off for a while", func(fl *fleet) {
			cutOff(fl)
			fl.After(time.Minute, func() { fl.cut = noCut })
		}, false, 70 * time.Second, 0},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(uint64(i+1), 3, 4)
			fl.start()
			fl.run(5 * time.Second)
			fl.change(fl.vms[0], "wash", "c1", 100)
			fl.run(30 * time.Second)
			tc.fault(fl)
			fl.run(2 * time.Second)
			var up Update
			if tc.quiet {
				up = Update{Team: "wash", Revision: 2, ChangeID: "c2"}
				fl.service.put(up)
			} else {
				up = fl.change(fl.vms[1], "wash", "c2", 100)
			}
			before := fl.service.calls
			fl.run(tc.within)
			want := tc.reach
			if want == 0 {
				want = len(fl.vms)
			}
			is.Equal(fl.countInForce(up), want)
			is.Equal(fl.regression(), "")
			// 6 VMs watch. Each makes at most one call a second after a burst of 4.
			is.True(fl.service.calls-before <= 6*(4+int(tc.within/time.Second)+1))
		})
	}
}

func TestServiceOutage(t *testing.T) {
	// Guards against load on the service during and after an outage of an hour. A VM that boots
	// meanwhile must work with the configuration that its peers hold. Each watching VM calls the
	// service about twice a minute, and after the outage no second may have more than a few calls.
	is := is.New(t)
	fl := newFleet(3, 3, 40)
	fl.start()
	fl.run(5 * time.Second)
	up := fl.change(fl.vms[0], "wash", "c1", 100)
	fl.run(5 * time.Second)
	fl.service.down = true
	before := fl.service.calls
	fl.run(time.Hour)
	is.True(fl.service.calls-before < 6*60*4)
	fl.vms[7].boot()
	fl.run(2 * time.Second)
	is.Equal(fl.vms[7].inForce["wash"], up.ID())
	is.Equal(fl.alarms(AlarmServiceDown), 6)
	fl.service.down = false
	fl.service.callsPerSec = nil
	fl.run(2 * time.Minute)
	for _, calls := range fl.service.callsPerSec {
		is.True(calls <= 12)
	}
	is.Equal(fl.alarms(AlarmServiceDown), 0)
}

// alarms counts the raised alarms of a kind on all VMs.
func (fl *fleet) alarms(kind AlarmKind) int {
	n := 0
	for _, v := range fl.vms {
		for key := range v.ma.alarms {
			if key.kind == kind {
				n++
			}
		}
	}
	return n
}

func TestPausedVM(t *testing.T) {
	// A VM is paused for an hour while the team's configuration changes twice, and receives
	// messages from before the pause when it resumes. It must not return to a lower revision nor
	// pass on old updates, and must have the newest change within seconds.
	is := is.New(t)
	fl := newFleet(4, 2, 5)
	fl.start()
	fl.run(5 * time.Second)
	fl.change(fl.vms[0], "wash", "c1", 100)
	fl.run(5 * time.Second)
	fl.vms[3].paused = true
	fl.change(fl.vms[0], "wash", "c2", 100)
	fl.run(time.Hour)
	up := fl.change(fl.vms[0], "wash", "c3", 100)
	fl.run(time.Second)
	fl.vms[3].resume()
	fl.run(3 * time.Second)
	is.Equal(fl.countInForce(up), len(fl.vms))
	is.Equal(fl.regression(), "")
}

func TestServiceRestoredFromBackup(t *testing.T) {
	// The service is restored from a backup with a lower revision. No VM may return to it, not
	// even one that boots afterwards. The watching VMs must raise an alarm and restore the lost
	// change, and the alarm must end then.
	is := is.New(t)
	fl := newFleet(5, 2, 4)
	fl.start()
	fl.run(5 * time.Second)
	fl.change(fl.vms[0], "wash", "c1", 100)
	backup := fl.service.copy()
	up := fl.change(fl.vms[0], "wash", "c2", 100)
	fl.run(5 * time.Second)
	fl.service.restoreBackup(backup)
	fl.run(time.Second)
	fl.vms[2].boot()
	fl.run(10 * time.Minute)
	is.Equal(fl.countInForce(up), len(fl.vms))
	is.Equal(fl.regression(), "")
	is.Equal(fl.service.held["wash"].ID(), up.ID())
	raised := 0
	for _, v := range fl.vms {
		raised += v.alarms[AlarmServiceBehind]
		is.Equal(v.ma.alarms[alarmKey{AlarmServiceBehind, "wash"}], "")
	}
	is.True(raised >= 1)
}

func TestOldValueWrittenOverNewer(t *testing.T) {
	// An operator writes an old value over the team's key: the service's own revision increases
	// while the team's decreases. No VM may return to the old value, and the fleet must write its
	// newer change again within half a minute.
	is := is.New(t)
	fl := newFleet(12, 2, 4)
	fl.start()
	fl.run(5 * time.Second)
	old := fl.change(fl.vms[0], "wash", "c1", 100)
	up := fl.change(fl.vms[0], "wash", "c2", 100)
	fl.run(5 * time.Second)
	fl.service.put(old)
	fl.run(30 * time.Second)
	is.Equal(fl.countInForce(up), len(fl.vms))
	is.Equal(fl.regression(), "")
	is.Equal(fl.service.held["wash"].ID(), up.ID())
}

func TestUnreadableDocument(t *testing.T) {
	// A newer build wrote a document that these VMs cannot read. They must keep the previous
	// one, raise an alarm and pass the new one on; a later readable document must end the alarm.
	is := is.New(t)
	fl := newFleet(6, 1, 30)
	fl.start()
	fl.run(5 * time.Second)
	old := fl.change(fl.vms[0], "wash", "c1", 100)
	fl.run(2 * time.Second)
	up := Update{Team: "wash", Revision: 2, ChangeID: "c2", Document: []byte("newer")}
	fl.service.put(up)
	fl.run(3 * time.Second)
	for _, v := range fl.vms {
		is.Equal(v.inForce["wash"], old.ID())
		is.Equal(v.ma.Held()[0], up.ID())
		is.Equal(v.alarms[AlarmUnreadable], 1)
	}
	next := fl.change(fl.vms[0], "wash", "c3", 100)
	fl.run(2 * time.Second)
	is.Equal(fl.countInForce(next), len(fl.vms))
	is.Equal(len(fl.vms[5].ma.alarms), 0)
}

func TestAlarmsEndWhenVMNoLongerWatches(t *testing.T) {
	// A watching VM has raised serviceDown when VMs join that rank before it. It no longer calls
	// the service, so its alarm must end; that of the other VMs must stay.
	is := is.New(t)
	fl := newFleet(10, 1, 40)
	all := fl.members()
	first := fl.vms[0]
	fl.start()
	fl.run(5 * time.Second)
	fl.change(first, "wash", "c1", 100)
	fl.run(2 * time.Second)
	first.step(Members{VMs: all[:2]})
	is.True(first.ma.Table().IsWatcher())
	fl.service.down = true
	fl.run(10 * time.Minute)
	is.Equal(first.alarms[AlarmServiceDown], 1)
	first.step(Members{VMs: all})
	is.True(!first.ma.Table().IsWatcher())
	is.Equal(len(first.ma.alarms), 0)
	is.Equal(fl.alarms(AlarmServiceDown), 2)
}

func TestSameRevision(t *testing.T) {
	// Two changes got the same revision after the service lost data. All VMs must end with the
	// same one, whatever the order of arrival, and raise an alarm until the next change.
	is := is.New(t)
	for _, changeIDs := range [][]string{{"a", "b"}, {"b", "a"}} {
		fl := newFleet(11, 1, 2)
		fl.start()
		v := fl.vms[0]
		for _, id := range changeIDs {
			v.step(Pushed{From: fl.vms[1].self, Updates: []Update{{Team: "wash", Revision: 5, ChangeID: id}}})
		}
		is.Equal(v.inForce["wash"].ChangeID, "b")
		v.step(Pushed{From: fl.vms[1].self, Updates: []Update{{Team: "wash", Revision: 6, ChangeID: "c"}}})
		is.Equal(len(v.ma.alarms), 0)
	}
}

func TestColdStart(t *testing.T) {
	// All VMs start at once without updates while the service is up: the watching ones read the
	// service, the others get the update from peers, and the service gets few reads a second.
	is := is.New(t)
	fl := newFleet(7, 3, 100)
	up := Update{Team: "wash", Revision: 1, ChangeID: "c1"}
	fl.service.put(up)
	fl.start()
	fl.run(5 * time.Second)
	is.Equal(fl.countInForce(up), len(fl.vms))
	for _, calls := range fl.service.callsPerSec {
		is.True(calls <= 100)
	}
}

func TestNoVMList(t *testing.T) {
	// The VM list is not available while a fleet starts. No VM can know its rank, so each one
	// reads the service at a low rate, and must have the configuration after that.
	is := is.New(t)
	fl := newFleet(8, 1, 50)
	fl.service.put(Update{Team: "wash", Revision: 1, ChangeID: "c1"})
	for _, v := range fl.vms {
		v.boot()
		v.ma = New(Config{Self: v.self, Rand: fl.rnd, CheckReadable: readable})
		v.step(Tick{})
	}
	fl.run(2 * time.Minute)
	is.Equal(fl.countInForce(Update{Team: "wash", Revision: 1}), len(fl.vms))
	is.True(fl.service.calls <= 2*50+50)
}

func TestSession(t *testing.T) {
	// The complete log of one session: boot, a change, a backup, a document of a newer build, and
	// when each VM did what.
	fl := newFleet(9, 2, 2)
	fl.log = &strings.Builder{}
	note := func(text string) { fmt.Fprintf(fl.log, "%10s -- %s\n", fl.Now().Round(time.Millisecond), text) }
	note("four VMs boot; the service holds nothing")
	fl.start()
	fl.run(3 * time.Second)
	note("change c1 through the first VM")
	fl.change(fl.vms[0], "wash", "c1", 10)
	backup := fl.service.copy()
	fl.run(2 * time.Second)
	note("change c2 through the last VM")
	fl.change(fl.vms[3], "wash", "c2", 10)
	fl.run(2 * time.Second)
	note("the service comes back from a backup")
	fl.service.restoreBackup(backup)
	fl.run(6 * time.Minute)
	note("a document of a newer build")
	fl.service.put(Update{Team: "wash", Revision: 3, ChangeID: "c3", Document: []byte("newer")})
	fl.run(2 * time.Second)
	note("change c4")
	fl.change(fl.vms[1], "wash", "c4", 10)
	fl.run(2 * time.Second)
	golden.Check(t, "session", fl.log.String())
}
