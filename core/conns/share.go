package conns

// reserveShare of a limit is kept back for newcomers and differing views.
const reserveShare = 8

// farShare of what is divided is for VMs in other data centres.
const farShare = 4

// Reserve is what of a limit is never divided.
func Reserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, (limit+reserveShare-1)/reserveShare)
}

// Split divides a limit, less its reserve, between the VMs of the server's own
// data centre and all others.
func Split(limit int, far bool) (nearPart, farPart int) {
	usable := max(limit, 0) - Reserve(limit)
	if !far || usable < 2 {
		return usable, 0
	}
	farPart = max(1, usable/farShare)
	return usable - farPart, farPart
}

// Share is what the VM of this rank among count VMs gets of a part of a
// server's connections; the server is replica number of its service.
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
	// At most one of rank, rank+count, ... falls between from and from+part.
	from := part * replica
	at := rank
	if from > rank {
		at += (from - rank + count - 1) / count * count
	}
	if at < from+part {
		return 1
	}
	return 0
}

// Bound is the most that n live VMs together can use of a part of a server's
// connections, if each one's view lacks at most missing of them and counts at
// most extra others.
func Bound(part, n, missing, extra, replica int) int {
	sum := 0
	for rank := range n {
		sum += worst(part, n, missing, extra, replica, rank)
	}
	return sum
}

func worst(part, n, missing, extra, replica, rank int) int {
	most := 0
	for count := max(1, n-missing); count <= n+extra; count++ {
		for seen := max(0, rank-missing); seen <= min(rank+extra, count-1); seen++ {
			most = max(most, Share(part, count, seen, replica))
		}
	}
	return most
}
