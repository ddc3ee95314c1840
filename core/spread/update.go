package spread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Update is one team's accepted configuration. Document is raw, as it was
// accepted, so that a VM passes on what it cannot read itself.
type Update struct {
	Team     string
	Revision uint64
	ChangeID string
	Document []byte
}

// Revision names what a VM holds of a team.
type Revision struct {
	Team     string
	Revision uint64
	ChangeID string
}

// Name is the update without its document.
func (up Update) Name() Revision {
	return Revision{Team: up.Team, Revision: up.Revision, ChangeID: up.ChangeID}
}

// newer tells whether a replaces b. Two changes share a revision only after the
// service lost data; the id then decides, so that all VMs decide alike.
func (rv Revision) newer(than Revision) bool {
	if rv.Revision != than.Revision {
		return rv.Revision > than.Revision
	}
	return rv.Revision > 0 && rv.ChangeID > than.ChangeID
}

func (rv Revision) hash() uint64 {
	var di xxhash.Digest
	di.Reset()
	var no [8]byte
	binary.LittleEndian.PutUint64(no[:], rv.Revision)
	// Writes to a Digest never fail.
	_, _ = di.WriteString(rv.Team)
	_, _ = di.Write(no[:])
	_, _ = di.WriteString(rv.ChangeID)
	return di.Sum64()
}

// Digest sums up what a VM holds. Hash is equal for equal holdings whatever the
// order they came in; Sum, of all revisions, tells who is likely ahead.
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
