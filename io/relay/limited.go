package relay

import (
	"io"
	"math"
)

// unlimited is the limit of a limitedReader that reads everything.
const unlimited = math.MaxInt

// limitedReader reads until left bytes have been read, and then returns errTooLarge. The HTTP library
// reads a response's status line and headers into memory, however long they are.
type limitedReader struct {
	rd   io.Reader
	left int
}

// Read implements io.Reader.
func (lr *limitedReader) Read(p []byte) (int, error) {
	if lr.left <= 0 {
		return 0, errTooLarge
	}
	n, err := lr.rd.Read(p[:min(len(p), lr.left)])
	if lr.left != unlimited {
		lr.left -= n
	}
	return n, err
}
