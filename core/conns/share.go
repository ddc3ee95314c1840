package conns

// reserveDivisor is the part of a limit that is reserved for new VMs and differing views, 1 in 8.
const reserveDivisor = 8

// remoteDivisor is the part of the rest that is for VMs in other data centres, 1 in 4.
const remoteDivisor = 4

// Reserve returns how many connections of a limit are never divided.
func Reserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, (limit+reserveDivisor-1)/reserveDivisor)
}

// Split divides a limit, less its reserve, between the VMs of the server's own data centre and all
// others. The others get nothing if far is false.
func Split(limit int, far bool) (localPart, remotePart int) {
	usable := max(limit, 0) - Reserve(limit)
	if !far || usable < 2 {
		return usable, 0
	}
	remotePart = max(1, usable/remoteDivisor)
	return usable - remotePart, remotePart
}

// Share returns how many connections the VM of the given rank among count VMs gets from a part of
// a server's connections; replica is the server's number among the replicas of its service.
func Share(part, count, rank, replica int) int {
	if part <= 0 || count <= 0 {
		return 0
	}
	if count <= part {
		share := part / count
		if rank < part%count {
			share++
		}
		return share
	}
	// At most one of rank, rank+count, ... is in the range from start to start+part.
	start := part * replica
	pos := rank
	if start > rank {
		pos += (start - rank + count - 1) / count * count
	}
	if pos < start+part {
		return 1
	}
	return 0
}

// Bound returns how many connections n live VMs together can use at most of a part of a server's
// connections, if the view of each one lacks at most missing of them and counts at most extra
// other VMs.
func Bound(part, n, missing, extra, replica int) int {
	sum := 0
	for rank := range n {
		sum += worstShare(part, n, missing, extra, replica, rank)
	}
	return sum
}

func worstShare(part, n, missing, extra, replica, rank int) int {
	worst := 0
	for count := max(1, n-missing); count <= n+extra; count++ {
		for seenRank := max(0, rank-missing); seenRank <= min(rank+extra, count-1); seenRank++ {
			worst = max(worst, Share(part, count, seenRank, replica))
		}
	}
	return worst
}
