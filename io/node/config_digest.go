package node

import (
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
)

// publishDigest lets other goroutines read the digest of what this VM holds.
func (nd *Node) publishDigest(dg spread.Digest) {
	nd.digest.Store(&dg)
}

// configDigest is what heartbeats carry as digest and highest.
func (nd *Node) configDigest() spread.Digest {
	if dg := nd.digest.Load(); dg != nil {
		return *dg
	}
	return spread.Digest{}
}

// digestSeen takes a peer's digest, from a heartbeat or a comparison.
func (nd *Node) digestSeen(from *inner.VM, hash, sum uint64) {
	dg := spread.Digest{Hash: hash, Sum: sum}
	if dg == nd.configDigest() {
		// The usual case costs the control goroutine nothing.
		return
	}
	nd.post(configEvent{ev: spread.Beat{From: rankOf(from), Digest: dg}})
}
