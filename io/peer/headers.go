package peer

import "net/http"

// withMinimalHeaders returns the request without the headers that neither side reads. Every VM
// sends several heartbeats a second, and these headers were most of their bytes.
func withMinimalHeaders(rq *http.Request) *http.Request {
	trimmed := *rq
	trimmed.Header = http.Header{
		"Content-Type": rq.Header["Content-Type"],
		// An empty value keeps net/http from sending its default.
		"User-Agent": {""},
	}
	return &trimmed
}

// withoutDate serves without the Date header, which no VM reads.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		rw.Header()["Date"] = nil
		next.ServeHTTP(rw, rq)
	})
}
