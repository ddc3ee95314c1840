package node

import (
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
)

// publishDigest makes the digest of this VM's configuration available to other goroutines.
func (nd *Node) publishDigest(dg spread.Digest) {
	nd.digest.Store(&dg)
}

// configDigest returns the digest of this VM's configuration. Heartbeats carry it as digest and
// highest.
func (nd *Node) configDigest() spread.Digest {
	if dg := nd.digest.Load(); dg != nil {
		return *dg
	}
	return spread.Digest{}
}

// receiveDigest processes another VM's digest, from a heartbeat or a comparison.
func (nd *Node) receiveDigest(from *inner.VM, hash, sum uint64) {
	dg := spread.Digest{Hash: hash, Sum: sum}
	if dg == nd.configDigest() {
		// The usual case; it costs the control goroutine nothing.
		return
	}
	nd.post(configEvent{ev: spread.PeerDigest{From: rankVMFromWire(from), Digest: dg}})
}
