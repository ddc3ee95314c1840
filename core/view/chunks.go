package view

import "slices"

// chunkLen is the number of servers copied when one of them changes. Larger chunks copy more
// servers, smaller ones a longer directory; at 32,000 servers the sum of both costs is lowest near
// this size.
const chunkLen = 32

type chunk [chunkLen]Server

// chunks is an immutable list of servers; a modified list shares the unchanged chunks.
type chunks struct {
	dir []*chunk
	n   int
}

func newChunks(servers []Server) chunks {
	ch := chunks{n: len(servers)}
	for part := range slices.Chunk(servers, chunkLen) {
		ck := new(chunk)
		copy(ck[:], part)
		ch.dir = append(ch.dir, ck)
	}
	return ch
}

func (ch chunks) at(id ServerID) *Server {
	if int(id) >= ch.n {
		panic("view: server id of another process")
	}
	return &ch.dir[id/chunkLen][id%chunkLen]
}

func (ch chunks) with(sv Server) chunks {
	at := int(sv.ID / chunkLen)
	if int(sv.ID) > ch.n {
		panic("view: server ids must be given in order")
	}
	ck := new(chunk)
	dir := ch.dir
	if at == len(dir) {
		dir = append(slices.Clip(dir), ck)
	} else {
		*ck = *dir[at]
		dir = slices.Clone(dir)
		dir[at] = ck
	}
	ck[sv.ID%chunkLen] = sv
	return chunks{dir: dir, n: max(ch.n, int(sv.ID)+1)}
}

func (ch chunks) list() []Server {
	out := make([]Server, 0, ch.n)
	for _, ck := range ch.dir {
		out = append(out, ck[:min(chunkLen, ch.n-len(out))]...)
	}
	return out
}
