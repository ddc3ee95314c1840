package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// Fingerprint tells requests apart: those with the same method, host, path, query, caller
// and body have the same one.
type Fingerprint [16]byte

// Field is one header line of a request.
type Field struct {
	Name, Value string
}

// Request is what makes two requests the same one.
type Request struct {
	Method string
	Host   string
	// URI is the path with its query.
	URI string
	// Fields are the header lines that go on to a server. The client account, its
	// credentials and its program stand there.
	Fields []Field
	Body   []byte
}

// tracing are header lines that a client's libraries make anew for each attempt. With them
// in the fingerprint a request that comes again would pass for another one.
var tracing = []string{ //nolint:gochecknoglobals // a constant list
	"traceparent", "tracestate", "baggage", "b3", "x-request-id", "x-correlation-id", "x-request-start",
	"x-amzn-trace-id", "x-cloud-trace-context", "uber-trace-id", "date",
}

// tracingPrefix begins further ones.
const tracingPrefix = "x-b3-"

// Of returns the fingerprint of a request. It is cryptographic, so that nobody can make a
// request that passes for another caller's.
func Of(rq Request) Fingerprint {
	ha := sha256.New()
	write := func(text string) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		ha.Write(size[:])
		ha.Write([]byte(text))
	}
	write(rq.Method)
	write(strings.ToLower(rq.Host))
	write(rq.URI)
	for _, text := range identity(rq.Fields) {
		write(text)
	}
	ha.Write(rq.Body)
	return Fingerprint(ha.Sum(nil)[:len(Fingerprint{})])
}

// identity lists the header lines that tell the caller, in an order of their own: a proxy
// may change theirs.
func identity(fields []Field) []string {
	texts := make([]string, 0, len(fields))
	for _, fi := range fields {
		name := strings.ToLower(fi.Name)
		if slices.Contains(tracing, name) || strings.HasPrefix(name, tracingPrefix) {
			continue
		}
		texts = append(texts, name+":"+fi.Value)
	}
	slices.Sort(texts)
	return texts
}

// String is the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// Key is a number that spreads fingerprints evenly.
func (fp Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(fp[:8]) }

// Parse reads what String wrote.
func Parse(text string) (Fingerprint, error) {
	var fp Fingerprint
	raw, err := hex.DecodeString(text)
	if err == nil && len(raw) != len(fp) {
		err = errLength
	}
	if err != nil {
		return fp, &Error{Op: "poison.Parse", Kind: KindFormat, Err: err}
	}
	copy(fp[:], raw)
	return fp, nil
}
