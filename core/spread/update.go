package spread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Update is one team's accepted configuration. Document holds the accepted bytes unchanged, so
// that a VM can pass on a document that it cannot read itself.
type Update struct {
	Team     string
	Revision uint64
	ChangeID string
	Document []byte
}

// Revision identifies an update.
type Revision struct {
	Team     string
	Revision uint64
	ChangeID string
}

// ID returns the identity of the update.
func (up Update) ID() Revision {
	return Revision{Team: up.Team, Revision: up.Revision, ChangeID: up.ChangeID}
}

// newer reports whether rv replaces other. Two changes have the same revision only after the
// service lost data; then the greater id wins, so that all VMs decide alike.
func (rv Revision) newer(other Revision) bool {
	if rv.Revision != other.Revision {
		return rv.Revision > other.Revision
	}
	return rv.Revision > 0 && rv.ChangeID > other.ChangeID
}

func (rv Revision) hash() uint64 {
	var di xxhash.Digest
	di.Reset()
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], rv.Revision)
	// Writes to a Digest never fail.
	_, _ = di.WriteString(rv.Team)
	_, _ = di.Write(revision[:])
	_, _ = di.WriteString(rv.ChangeID)
	return di.Sum64()
}

// Digest summarises what a VM holds. Hash is equal for equal holdings, whatever the order in
// which they arrived. Sum adds up all revisions and shows which of two VMs is likely ahead.
type Digest struct {
	Hash uint64
	Sum  uint64
}

func (dg Digest) with(rv Revision) Digest {
	return Digest{Hash: dg.Hash ^ rv.hash(), Sum: dg.Sum + rv.Revision}
}

func (dg Digest) without(rv Revision) Digest {
	return Digest{Hash: dg.Hash ^ rv.hash(), Sum: dg.Sum - rv.Revision}
}
