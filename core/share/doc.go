// Package share divides a team's limits among the VMs by recent demand, so that the
// limits hold over all VMs together without a message before each search.
//
// Each VM announces its demand to the others at regular intervals. Its own share of
// a limit L is
//
//	L * low / (low + sum of the others' demands as last received)
//
// where low is the lowest demand that it has itself announced within the last two
// Windows. It uses that share only while it hears from all others within a Window and
// all announce that their shares are not held. A VM that misses another one holds its
// share: it may lower the share but not raise it. So all shares in force were computed
// within one Window of each other, each from demands announced at most one Window
// before. Such a demand is at least the low of the VM that announced it, so that no
// share exceeds L * low / (sum of all lows), and the sum of all shares never exceeds L,
// however the views of the VMs differ. A VM gives way to a higher demand of another VM
// at once; its own share follows its own higher demand after two Windows.
//
// With one Window instead of two, the property test found a sum of 1.21 L: a VM that
// had just missed another one held a share that the other one, which still heard from
// it, had already taken.
//
// The bounds, with N VMs:
//
//   - All VMs hear from each other within the Window: L.
//   - Some VMs are not heard from: L, as long as both sides notice, since no VM that
//     misses another one raises its share.
//   - A VM has been silent for ForgetAfter: those that still hear from more than half of the
//     VMs divide L among themselves; any other VM keeps at most the lower of its last
//     share and L/N. With k VMs partitioned: L * (1 + k/N), less than 1.5 L.
//   - k VMs are new: each uses L/N until it has heard from all others and has announced
//     its own demand for two Windows: L * (1 + k/N). If all restarted at once: L.
//
// The bounds require that a demand reaches the others within MaxDelay, a part of the
// Window. A VM counts as missed if no newer message from it arrived for the rest of
// the Window.
//
// # Groups
//
// If Config.Group is set, a VM announces its demand only within its group. One VM of
// each group, the aggregator, sums the demands of the group and sends the sum to the
// other groups. A VM's share is then its share within the group, by the rule above,
// times the group's share of the limit, by the same rule for the sums:
//
//	L * low / (low + sum of the other groups' sums as last received)
//
// Here the VM that announces a sum and those that use it differ. An aggregator
// therefore first announces each sum within the group, together with the lowest one
// that it announced in three GroupWindows. To the other groups it sends the highest sum
// announced within a Window, and none before it has aggregated for a Window. So any sum
// that other groups use is at least the low of every VM of the group that hears from
// its aggregators. A VM that does not hear from them announces this, the aggregator
// passes it on, and no group raises its share then. It does not matter which VM
// aggregates, nor if two do so at a time or none for a while.
//
// The groups' shares sum to at most L, and so do those of all VMs, while partitions are
// shorter than ForgetAfter. Groups with k VMs in total that are partitioned for longer, or
// have no aggregator for longer, keep an even share: L * (1 + k/N), less than 1.5 L. A
// new VM has at most L/N for five GroupWindows, since sums that it never received may
// be in use. A VM that is partitioned from its group adds to the group's share as
// stated by the bounds above.
//
// # Usage
//
// One goroutine owns the Machine; searches use the Bucket:
//
//	mc := share.New(share.Config{Self: self})
//	bucket := mc.Limit(now, "wash", share.Limit{Rate: 100, Concurrent: 20})
//	mc.Members(now, peers)
//	mc.Incoming(now, received)
//	demands := mc.Outgoing(now) // at each heartbeat: send these to the others
//	mc.Step(now)                // after it
//
//	if reason, after := bucket.Take(now); reason == "" { defer bucket.Release() }
//
// Times are monotonic, measured from the start of the process. A time before that of
// an earlier call counts as the earlier one.
package share
