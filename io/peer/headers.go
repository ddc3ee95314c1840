package peer

import "net/http"

// lean leaves out the headers that neither side reads. A heartbeat goes out
// several times a second on every VM, and most of its bytes were these.
func lean(rq *http.Request) *http.Request {
	slim := *rq
	slim.Header = http.Header{
		"Content-Type": rq.Header["Content-Type"],
		// Empty keeps net/http from sending its own.
		"User-Agent": {""},
	}
	return &slim
}

// undated serves without the Date header, which no VM reads.
func undated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		rw.Header()["Date"] = nil
		next.ServeHTTP(rw, rq)
	})
}
