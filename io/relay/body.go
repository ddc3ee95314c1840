package relay

import (
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxReplyBytes limits the body of a response; a server that sends more is faulty.
	maxReplyBytes = 8 << 20
	// maxUnfinishedBytes limits the bodies that are being read, over all connections: many servers
	// may be faulty at the same time, and a small VM has 136 MB. The first freeBodyBytes of each
	// body do not count.
	maxUnfinishedBytes = 32 << 20
	freeBodyBytes      = 64 << 10
	// firstBodyBytes is the size of the first buffer of a body whose length is not known.
	firstBodyBytes = 2 << 10
)

// bodyReader reads the bodies of responses.
type bodyReader struct {
	// unfinished is the size of the buffers of the bodies that are being read, each without its
	// first freeBodyBytes.
	unfinished atomic.Int64
}

// read reads a body to its end. After an error it does not close the body, because Close would read
// on until the body ends, which may be never; the connection has to be closed instead. A buffer grows with
// what has arrived, not with what the response claims to contain.
func (bo *bodyReader) read(rs *http.Response) ([]byte, error) {
	if rs.ContentLength > maxReplyBytes {
		return nil, errTooLarge
	}
	size := int64(firstBodyBytes)
	if rs.ContentLength >= 0 {
		size = min(rs.ContentLength, freeBodyBytes)
	}
	counted := int64(0)
	defer func() { bo.unfinished.Add(-counted) }()
	// One byte more than the body, so that its end is found without growing the buffer.
	body := make([]byte, 0, size+1)
	for {
		n, err := rs.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxReplyBytes:
			return nil, errTooLarge
		case len(body) < cap(body):
			continue
		}
		size = min(2*int64(cap(body)), maxReplyBytes+1)
		if grown := size - freeBodyBytes - counted; grown > 0 {
			counted += grown
			if bo.unfinished.Add(grown) > maxUnfinishedBytes {
				return nil, errTooLarge
			}
		}
		body = append(make([]byte, 0, size), body...)
	}
}
