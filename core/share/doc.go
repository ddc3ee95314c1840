// Package share divides a team's limits among the VMs by recent demand, so that
// they hold over all VMs together while none asks another before a search.
//
// Each VM tells the others its demand about once a second. Its own part of a
// limit L is
//
//	L * low / (low + sum of the others' demands as last heard)
//
// where low is the least demand that it has itself told within the last two
// Windows. It takes that part only while it hears all others within a Window and
// all say that they do not hold theirs; any one that misses another holds its part: it
// may lower it, not raise it. So all parts in force were worked out within one
// Window of each other, each from demands told within one Window before; such a
// demand is at least the low of the VM that told it, no part exceeds L * low /
// (sum of all lows), and the parts together never exceed L, however the views
// differ. What another VM needs more of, a VM gives at once; what it needs more
// of itself, it gets once it has said so for two Windows.
//
// With one Window in place of two the property test found a sum of 1.21 L: a VM
// that had just missed another held a part which that one, hearing it well, had
// already taken.
//
// The bounds, with N VMs:
//
//   - all hear each other within the Window: L.
//   - some are not heard: nobody who misses one raises its part: L, as long as
//     the cut is seen by both sides.
//   - a VM has been silent for Forget: those who still hear more than half of
//     the VMs divide L among themselves; any other keeps at most the lesser of
//     its last part and L/N. With k VMs cut off: L * (1 + k/N), less than 1.5 L.
//   - k VMs are new: each takes L/N until it has heard all others and told its
//     own demand for two Windows: L * (1 + k/N). All restarted at once: L.
//
// The bound needs a demand to reach the others within Way, a part of the Window,
// of being told; a VM counts as missed when nothing new of it came for the rest.
//
// # Groups
//
// With Config.Group set, a VM tells its demand within its group alone. One VM of
// each group, the summer, adds up the group's demands and tells the sum to the
// other groups. A VM's part is then its part of the group, by the rule above,
// times the group's part of the limit, by the same rule over the sums:
//
//	L * low / (low + sum of the other groups' sums as last heard)
//
// Teller and user are not the same VM here, so a summer announces each sum inside
// the group first, with the least that it announced in three FarWindows. What it
// tells outside is the greatest of a Window of announcements, and nothing before
// it has summed for a Window. So any sum in use elsewhere is at least the low of
// every VM of the group that hears its summers; one that does not says so, and a
// summer passes that on, and then no group raises its part. It does not matter
// who sums, two at a time or nobody for a while.
//
// The groups' parts sum to L at most, and so do all VMs', while cuts are shorter
// than Forget. Groups of k VMs together that are cut off for longer, or have no
// summer for longer, keep an even part: L * (1 + k/N), less than 1.5 L. A VM that
// is new has at most L/N for five FarWindows, since sums may be in use that it
// never heard of. A VM cut off within its group adds to the group's part what the
// rule above says.
//
// # Usage
//
// The control goroutine owns a Machine; traffic takes from a Bucket:
//
//	mc := share.New(share.Config{Self: self})
//	bucket := mc.Limit(now, "wash", share.Limit{Rate: 100, Concurrent: 20})
//	mc.Members(now, peers)
//	mc.Incoming(now, demandsHeard)
//	demandsToTell := mc.Outgoing(now) // each heartbeat
//	mc.Step(now)                      // after it
//
//	if reason, after := bucket.Take(now); reason == "" { defer bucket.Give() }
//
// Times are monotonic and count from the start of the process; a step back of
// the caller's clock counts as no time at all.
package share
