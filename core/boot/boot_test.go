package boot_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/boot"
)

const ms = time.Millisecond

// A request must not wait for a configuration that is not expected soon, nor for so long that its
// client has no time for another attempt.
func TestAdmit(t *testing.T) {
	const started = 5 * time.Second
	cases := []struct {
		name  string
		after time.Duration
		rq    boot.Request
		wait  time.Duration
		ok    bool
	}{
		{"just started", 0, boot.Request{Remaining: 400 * ms}, 100 * ms, true},
		{"boot ends before a quarter of the remaining time", 600 * ms, boot.Request{Remaining: 3000 * ms}, 100 * ms, true},
		{"client does not say how long it waits", 0, boot.Request{}, 250 * ms, true},
		{"boot takes longer than usual", 700 * ms, boot.Request{Remaining: 3000 * ms}, 0, false},
		{"no time left", 0, boot.Request{Remaining: -1}, 0, false},
		{"too large", 0, boot.Request{Remaining: 400 * ms, Bytes: boot.DefaultMaxBytes + 1}, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ho := boot.New(boot.Config{Started: started})
			wait, ok := ho.Admit(started+tc.after, tc.rq)
			is.Equal(ok, tc.ok)
			is.Equal(wait, tc.wait)
		})
	}
}

// A surge of requests on a VM that boots must not use up its memory, and places must be free again
// after their requests ended.
func TestWaitingIsBounded(t *testing.T) {
	is := is.New(t)
	ho := boot.New(boot.Config{MaxWaiting: 3, MaxBytes: 100})
	rq := boot.Request{Bytes: 40, Remaining: time.Second}
	admitted := 0
	for range 5 {
		if _, ok := ho.Admit(0, rq); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2) // bytes
	for range 5 {
		if _, ok := ho.Admit(0, boot.Request{Remaining: time.Second}); ok {
			admitted++
		}
	}
	is.Equal(admitted, 3) // number
	ho.Release(rq)
	_, ok := ho.Admit(0, rq)
	is.True(ok)
}

// A VM that the store refuses does not know when it will have a configuration. Its callers must
// be told at once.
func TestRefusedByStore(t *testing.T) {
	is := is.New(t)
	ho := boot.New(boot.Config{})
	ho.RecordRefusal()
	_, ok := ho.Admit(0, boot.Request{Remaining: time.Second})
	is.True(!ok)
}

// A fleet loses power while its clients are waiting. All VMs are back at once, and each has its
// configuration 50 to 500 ms after its start. Clients arrive evenly over the first second, retry
// once at another VM after 150 ms, and wait for three seconds. If the VMs refuse them until they
// have a configuration, clients that meet two such VMs are lost.
func TestReplayFleetStarts(t *testing.T) {
	const (
		vms, clients = 100, 1000
		retryAfter   = 150 * ms
		remaining    = 3 * time.Second
	)
	readyAt := func(vm int) time.Duration { return 50*ms + time.Duration(vm%10)*50*ms }
	replay := func(usual time.Duration) (lost int) {
		holds := make([]*boot.Hold, vms)
		for i := range holds {
			holds[i] = boot.New(boot.Config{UsualTime: usual})
		}
		for c := range clients {
			at, served := time.Duration(c)*ms, false
			for attempt := 0; attempt < 2 && !served; attempt++ {
				vm := (c*7 + attempt*31) % vms
				wait, ok := holds[vm].Admit(at, boot.Request{Remaining: remaining})
				if ok {
					holds[vm].Release(boot.Request{})
				}
				served = at+wait >= readyAt(vm)
				at += wait + retryAfter
			}
			if !served {
				lost++
			}
		}
		return lost
	}
	is := is.New(t)
	is.True(replay(1) > clients/20)            // refused at once
	is.Equal(replay(boot.DefaultUsualTime), 0) // waits
}
