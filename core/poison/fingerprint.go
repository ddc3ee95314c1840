package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// Fingerprint identifies a request: requests with the same method, host, path, query, caller and
// body have the same one.
type Fingerprint [16]byte

// Field is a header field of a request.
type Field struct {
	Name, Value string
}

// Request holds the parts of a request that its fingerprint is made of.
type Request struct {
	Method string
	Host   string
	// URI is the path with its query.
	URI string
	// Fields are the header fields that are forwarded to a server. They include the client
	// account and its user agent. Credentials are among them only if there are no client
	// accounts: two keys of an account give the same fingerprint.
	Fields []Field
	Body   []byte
}

// tracingHeaders are header fields that client libraries set anew for each attempt. If they were
// part of the fingerprint, a repeated request would have a different one.
var tracingHeaders = []string{ //nolint:gochecknoglobals // a constant list
	"traceparent", "tracestate", "baggage", "b3", "x-request-id", "x-correlation-id", "x-request-start",
	"x-amzn-trace-id", "x-cloud-trace-context", "uber-trace-id", "date",
}

// tracingPrefix is the common prefix of further tracing headers.
const tracingPrefix = "x-b3-"

// FingerprintOf returns the fingerprint of a request. It is a cryptographic hash, so that nobody
// can construct a request with the fingerprint of another caller's.
func FingerprintOf(rq Request) Fingerprint {
	ha := sha256.New()
	writeText := func(text string) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		ha.Write(size[:])
		ha.Write([]byte(text))
	}
	writeText(rq.Method)
	writeText(strings.ToLower(rq.Host))
	writeText(rq.URI)
	for _, text := range identityLines(rq.Fields) {
		writeText(text)
	}
	ha.Write(rq.Body)
	return Fingerprint(ha.Sum(nil)[:len(Fingerprint{})])
}

// identityLines returns the header fields that identify the caller, sorted, since proxies may
// change their order.
func identityLines(fields []Field) []string {
	lines := make([]string, 0, len(fields))
	for _, fi := range fields {
		name := strings.ToLower(fi.Name)
		if slices.Contains(tracingHeaders, name) || strings.HasPrefix(name, tracingPrefix) {
			continue
		}
		lines = append(lines, name+":"+fi.Value)
	}
	slices.Sort(lines)
	return lines
}

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// Key returns a number by which fingerprints are distributed evenly, for example over VMs.
func (fp Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(fp[:8]) }

// Parse parses the result of String.
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
