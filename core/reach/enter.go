package reach

import "time"

// maxEnterDelay bounds how long a VM that has just started stays out of the load balancer's
// rotation because of another VM's report. It exceeds the time that the VM's own Detector needs
// to detect a cut with such a report.
const maxEnterDelay = 2 * time.Second

// MayEnterRotation reports whether a VM that has just started may enter the load balancer's
// rotation; waited is how long it has been ready for that. While a data centre is cut off, all its
// VMs are out of rotation and the balancer sends clients elsewhere. A VM that starts there gets
// its configuration from VMs of the data centre. As the only VM in rotation it would get all
// clients and could not serve them. So it stays out while another VM reports proof of a cut
// (told) and nothing has been received from outside the data centre since its start (silence
// is at least uptime).
func MayEnterRotation(told bool, silence, uptime, waited time.Duration) bool {
	return !told || silence < uptime || waited >= maxEnterDelay
}
