package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

// holding counts the VMs on which a change, or a later one, is in force.
func (fl *fleet) holding(up Update) int {
	n := 0
	for _, v := range fl.vms {
		if v.force[up.Team].Revision >= up.Revision {
			n++
		}
	}
	return n
}

func (fl *fleet) fell() string {
	for _, v := range fl.vms {
		if v.fell != "" {
			return v.fell
		}
	}
	return ""
}

func TestFaults(t *testing.T) {
	// The fleet runs with one change in force when something fails; a second
	// change is accepted, by the service and through one VM unless told
	// otherwise. It must be in force on every VM within the time given, no VM
	// may go back, and the service gets few calls.
	cutOff := func(fl *fleet) {
		fl.cut = func(a, b string) bool { return (a == "dc1") != (b == "dc1") }
	}
	cases := []struct {
		name  string
		fault func(fl *fleet)
		// quiet lets the change reach the service only, as when the VM that
		// carried it died.
		quiet  bool
		within time.Duration
		reach  int // VMs out of 12; 0 for all
	}{
		{"none", func(*fleet) {}, false, time.Second, 0},
		{"quiet", func(*fleet) {}, true, time.Second, 0},
		{"fifth of messages lost", func(fl *fleet) { fl.link.Loss = 0.2 }, false, 6 * time.Second, 0},
		{"messages overtake each other", func(fl *fleet) { fl.link.Jitter = 2 * time.Second }, false, 8 * time.Second, 0},
		{"watches silent for good", func(fl *fleet) { fl.sv.silent = true }, false, 2 * time.Second, 0},
		{"watches silent, change quiet", func(fl *fleet) { fl.sv.silent = true; fl.After(time.Minute, func() { fl.sv.silent = false }) }, true, 2 * time.Minute, 0},
		{"watches silent for ever, change quiet", func(fl *fleet) { fl.sv.silent = true }, true, 8 * time.Minute, 0},
		{"events compacted", func(fl *fleet) { fl.After(time.Second, fl.sv.compact) }, true, 15 * time.Second, 0},
		{"service slow by 10 s", func(fl *fleet) { fl.sv.slow = 10 * time.Second }, false, 2 * time.Second, 0},
		{"service slow by 10 s, change quiet", func(fl *fleet) { fl.sv.slow = 10 * time.Second }, true, time.Minute, 0},
		{"service answers from the past", func(fl *fleet) { fl.sv.past = fl.sv.copy() }, false, 2 * time.Second, 0},
		{"ranked VMs of a data centre frozen", func(fl *fleet) {
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
			fl.After(time.Minute, func() { fl.cut = uncut })
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
				fl.sv.put(up)
			} else {
				up = fl.change(fl.vms[1], "wash", "c2", 100)
			}
			before := fl.sv.calls
			fl.run(tc.within)
			want := tc.reach
			if want == 0 {
				want = len(fl.vms)
			}
			is.Equal(fl.holding(up), want)
			is.Equal(fl.fell(), "")
			// 6 VMs watch, each by one call a second at most and a burst of 4.
			is.True(fl.sv.calls-before <= 6*(4+int(tc.within/time.Second)+1))
		})
	}
}

func TestServiceDownForAnHour(t *testing.T) {
	// The service is gone for an hour and comes back. Meanwhile a VM boots, and
	// works by what its peers hold. Each ranked VM knocks twice a minute or so,
	// and when the service is back no second sees more than a few calls.
	is := is.New(t)
	fl := newFleet(3, 3, 40)
	fl.start()
	fl.run(5 * time.Second)
	up := fl.change(fl.vms[0], "wash", "c1", 100)
	fl.run(5 * time.Second)
	fl.sv.down = true
	before := fl.sv.calls
	fl.run(time.Hour)
	is.True(fl.sv.calls-before < 6*60*4)
	fl.vms[7].boot()
	fl.run(2 * time.Second)
	is.Equal(fl.vms[7].force["wash"], up.Name())
	is.Equal(fl.alarms(AlarmServiceDown), 6)
	fl.sv.down = false
	fl.sv.perSec = nil
	fl.run(2 * time.Minute)
	for _, calls := range fl.sv.perSec {
		is.True(calls <= 12)
	}
	is.Equal(fl.alarms(AlarmServiceDown), 0)
}

// alarms counts the VMs on which an alarm stands.
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

func TestPausedForAnHour(t *testing.T) {
	// A VM is paused for an hour in which the team changes twice, and messages
	// from before the pause reach it when it wakes. It never goes back, tells
	// no one else its old news, and has the newest within seconds.
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
	is.Equal(fl.holding(up), len(fl.vms))
	is.Equal(fl.fell(), "")
}

func TestBackup(t *testing.T) {
	// The service comes back from a backup with a lower revision. Nothing goes
	// back, also on a VM that boots afterwards; ranked VMs raise an alarm and
	// give the service back what it lost; the alarm then ends.
	is := is.New(t)
	fl := newFleet(5, 2, 4)
	fl.start()
	fl.run(5 * time.Second)
	fl.change(fl.vms[0], "wash", "c1", 100)
	backup := fl.sv.copy()
	up := fl.change(fl.vms[0], "wash", "c2", 100)
	fl.run(5 * time.Second)
	fl.sv.back(backup)
	fl.run(time.Second)
	fl.vms[2].boot()
	fl.run(10 * time.Minute)
	is.Equal(fl.holding(up), len(fl.vms))
	is.Equal(fl.fell(), "")
	is.Equal(fl.sv.held["wash"].Name(), up.Name())
	raised := 0
	for _, v := range fl.vms {
		raised += v.alarms[AlarmServiceBehind]
		is.Equal(v.ma.alarms[alarmKey{AlarmServiceBehind, "wash"}], "")
	}
	is.True(raised >= 1)
}

func TestBackupWrittenOver(t *testing.T) {
	// Someone writes an old value over the team's key: the service's own
	// revision goes up, the team's goes down. Nothing goes back, and the fleet
	// writes its newer change again within half a minute.
	is := is.New(t)
	fl := newFleet(12, 2, 4)
	fl.start()
	fl.run(5 * time.Second)
	old := fl.change(fl.vms[0], "wash", "c1", 100)
	up := fl.change(fl.vms[0], "wash", "c2", 100)
	fl.run(5 * time.Second)
	fl.sv.put(old)
	fl.run(30 * time.Second)
	is.Equal(fl.holding(up), len(fl.vms))
	is.Equal(fl.fell(), "")
	is.Equal(fl.sv.held["wash"].Name(), up.Name())
}

func TestUnreadable(t *testing.T) {
	// A newer build wrote a document that half of the VMs cannot read. Those
	// keep the one before and raise an alarm, and pass the new one on; a later
	// document that they can read ends the alarm.
	is := is.New(t)
	fl := newFleet(6, 1, 30)
	fl.start()
	fl.run(5 * time.Second)
	old := fl.change(fl.vms[0], "wash", "c1", 100)
	fl.run(2 * time.Second)
	up := Update{Team: "wash", Revision: 2, ChangeID: "c2", Document: []byte("newer")}
	fl.sv.put(up)
	fl.run(3 * time.Second)
	for _, v := range fl.vms {
		is.Equal(v.force["wash"], old.Name())
		is.Equal(v.ma.Held()[0], up.Name())
		is.Equal(v.alarms[AlarmUnreadable], 1)
	}
	next := fl.change(fl.vms[0], "wash", "c3", 100)
	fl.run(2 * time.Second)
	is.Equal(fl.holding(next), len(fl.vms))
	is.Equal(len(fl.vms[5].ma.alarms), 0)
}

func TestAlarmsEndWithRank(t *testing.T) {
	// A ranked VM has raised serviceDown when VMs join that rank before it. It
	// no longer asks the service, and its alarm ends; that of the others stands.
	is := is.New(t)
	fl := newFleet(10, 1, 40)
	all := fl.list()
	first := fl.vms[0]
	fl.start()
	fl.run(5 * time.Second)
	fl.change(first, "wash", "c1", 100)
	fl.run(2 * time.Second)
	first.step(Members{VMs: all[:2]})
	is.True(first.ma.Table().Watches())
	fl.sv.down = true
	fl.run(10 * time.Minute)
	is.Equal(first.alarms[AlarmServiceDown], 1)
	first.step(Members{VMs: all})
	is.True(!first.ma.Table().Watches())
	is.Equal(len(first.ma.alarms), 0)
	is.Equal(fl.alarms(AlarmServiceDown), 2)
}

func TestSameRevision(t *testing.T) {
	// After a service lost data two changes got the same revision. Whatever the
	// order in which VMs hear of them, all end with the same, and say so until
	// the next change.
	is := is.New(t)
	for _, ids := range [][]string{{"a", "b"}, {"b", "a"}} {
		fl := newFleet(11, 1, 2)
		fl.start()
		v := fl.vms[0]
		for _, id := range ids {
			v.step(Pushed{From: fl.vms[1].self, Updates: []Update{{Team: "wash", Revision: 5, ChangeID: id}}})
		}
		is.Equal(v.force["wash"].ChangeID, "b")
		v.step(Pushed{From: fl.vms[1].self, Updates: []Update{{Team: "wash", Revision: 6, ChangeID: "c"}}})
		is.Equal(len(v.ma.alarms), 0)
	}
}

func TestColdStart(t *testing.T) {
	// All VMs start at once with the service up and nobody holding anything:
	// the ranked ones read it, the rest get it from peers, and the service sees
	// some reads a second.
	is := is.New(t)
	fl := newFleet(7, 3, 100)
	up := Update{Team: "wash", Revision: 1, ChangeID: "c1"}
	fl.sv.put(up)
	fl.start()
	fl.run(5 * time.Second)
	is.Equal(fl.holding(up), len(fl.vms))
	for _, calls := range fl.sv.perSec {
		is.True(calls <= 100)
	}
}

func TestNoVMList(t *testing.T) {
	// The VM list is down while a fleet starts. No VM can know its rank; each
	// reads the service now and then, slowly, and serves once it has.
	is := is.New(t)
	fl := newFleet(8, 1, 50)
	fl.sv.put(Update{Team: "wash", Revision: 1, ChangeID: "c1"})
	for _, v := range fl.vms {
		v.boot()
		v.ma = New(Config{Self: v.self, Rand: fl.rnd, Readable: readable})
		v.step(Tick{})
	}
	fl.run(2 * time.Minute)
	is.Equal(fl.holding(Update{Team: "wash", Revision: 1}), len(fl.vms))
	is.True(fl.sv.calls <= 2*50+50)
}

func TestSession(t *testing.T) {
	// One session to the byte: boot, a change, a backup, a document of a newer
	// build, and what each VM did when.
	fl := newFleet(9, 2, 2)
	fl.log = &strings.Builder{}
	note := func(text string) { fmt.Fprintf(fl.log, "%10s -- %s\n", fl.Now().Round(time.Millisecond), text) }
	note("four VMs boot; the service holds nothing")
	fl.start()
	fl.run(3 * time.Second)
	note("change c1 through the first VM")
	fl.change(fl.vms[0], "wash", "c1", 10)
	backup := fl.sv.copy()
	fl.run(2 * time.Second)
	note("change c2 through the last VM")
	fl.change(fl.vms[3], "wash", "c2", 10)
	fl.run(2 * time.Second)
	note("the service comes back from a backup")
	fl.sv.back(backup)
	fl.run(6 * time.Minute)
	note("a document of a newer build")
	fl.sv.put(Update{Team: "wash", Revision: 3, ChangeID: "c3", Document: []byte("newer")})
	fl.run(2 * time.Second)
	note("change c4")
	fl.change(fl.vms[1], "wash", "c4", 10)
	fl.run(2 * time.Second)
	golden.Check(t, "session", fl.log.String())
}
