package emul

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// FieldMember is the name of the field that identifies a member.
	FieldMember = "member"
	// maxLine is the longest line of a register file in bytes.
	maxLine = 1 << 20
)

// Member is one object of a register. It is immutable.
type Member struct {
	ID     string
	Raw    json.RawMessage // the object as JSON
	Fields map[string]any  // the object, decoded
}

// Register is a named set of members from which snapshots are taken. Changes appear only in
// snapshots taken later.
type Register struct {
	Name string

	mu      sync.Mutex
	members map[string]*Member
	version uint64
}

// Snapshot is a register at one version, split into shards. It is immutable.
type Snapshot struct {
	Register string
	Version  uint64
	Shards   int
	byShard  [][]*Member // each ordered by member id
}

// NewRegister returns an empty register.
func NewRegister(name string) *Register {
	return &Register{Name: name, members: map[string]*Member{}}
}

// LoadRegister reads a register from a file of JSON lines; see ReadRegister.
func LoadRegister(name, path string) (*Register, error) {
	fi, err := os.Open(path)
	if err != nil {
		return nil, newError("LoadRegister", KindFormat, err)
	}
	defer func() { _ = fi.Close() }()
	return ReadRegister(name, fi)
}

// ReadRegister reads a register from JSON lines. Each line is an object with a non-empty string
// field "member" that is unique in the file. Blank lines are skipped. The error names the first
// invalid line, counted from 1.
func ReadRegister(name string, rd io.Reader) (*Register, error) {
	const op = "ReadRegister"
	rg := NewRegister(name)
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLine)
	lineNo := 0
	for sc.Scan() {
		lineNo++
		line := bytes.TrimSpace(sc.Bytes())
		if len(line) == 0 {
			continue
		}
		me, err := parseMember(line)
		if err != nil {
			return nil, newError(op, KindFormat, errors.Wrapf(err, "line %d", lineNo))
		}
		if rg.members[me.ID] != nil {
			return nil, errorf(op, KindFormat, "line %d: member %q occurs twice", lineNo, me.ID)
		}
		rg.members[me.ID] = me
	}
	if err := sc.Err(); err != nil {
		return nil, newError(op, KindFormat, errors.Wrapf(err, "line %d", lineNo+1))
	}
	return rg, nil
}

// Put adds a member or replaces the one with the same id.
func (rg *Register) Put(object json.RawMessage) error {
	me, err := parseMember(object)
	if err != nil {
		return newError("Register.Put", KindFormat, err)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.members[me.ID] = me
	return nil
}

// Len returns the number of members.
func (rg *Register) Len() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return len(rg.members)
}

// Snapshot takes a snapshot with the next version number, split into the given number of
// shards. The first version is 1.
func (rg *Register) Snapshot(shards int) (*Snapshot, error) {
	if shards < 1 {
		return nil, errorf("Register.Snapshot", KindConfig, "%d shards", shards)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.version++
	sn := &Snapshot{
		Register: rg.Name,
		Version:  rg.version,
		Shards:   shards,
		byShard:  make([][]*Member, shards),
	}
	for _, id := range slices.Sorted(maps.Keys(rg.members)) {
		sh := ShardOf(id, shards)
		sn.byShard[sh] = append(sn.byShard[sh], rg.members[id])
	}
	return sn, nil
}

// ShardOf returns the shard that holds a member, by the hash of the member's id.
func ShardOf(member string, shards int) int {
	return int(xxhash.Sum64String(member) % uint64(shards))
}

// Members returns a shard's members in the order of their ids, or nil if there is no such
// shard. The caller must not change the slice.
func (sn *Snapshot) Members(shard int) []*Member {
	if shard < 0 || shard >= sn.Shards {
		return nil
	}
	return sn.byShard[shard]
}

func parseMember(object []byte) (*Member, error) {
	raw := bytes.Clone(object)
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, errors.Wrap(err, "not a JSON object")
	}
	id, ok := fields[FieldMember].(string)
	if !ok || id == "" {
		return nil, errors.Errorf("field %q is not a non-empty string", FieldMember)
	}
	return &Member{ID: id, Raw: raw, Fields: fields}, nil
}
