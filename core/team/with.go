package team

import (
	"encoding/json"
	"maps"
	"slices"
)

// Canonical is the document in the one form that equal documents share: fields
// in the order of the format, names sorted, defaults filled in. Parse reads it
// back to an equal Document.
func (doc Document) Canonical() []byte {
	raw, err := json.Marshal(doc)
	if err != nil {
		// Only a number that is not finite cannot be written, and Parse lets none
		// through.
		panic("team: Canonical: " + err.Error())
	}
	return raw
}

// WithLimits is the document with other limits.
func (doc Document) WithLimits(lim Limits) Document {
	doc.Limits = lim
	return doc
}

// WithSearch is the document with one kind of search added or replaced.
func (doc Document) WithSearch(name string, sch Search) Document {
	doc.Searches = with(doc.Searches, name, sch)
	return doc
}

// WithoutSearch is the document without one kind of search.
func (doc Document) WithoutSearch(name string) Document {
	doc.Searches = maps.Clone(doc.Searches)
	delete(doc.Searches, name)
	return doc
}

// WithRegister is the document with one register added or replaced.
func (doc Document) WithRegister(name string, reg Register) Document {
	doc.Registers = with(doc.Registers, name, reg)
	return doc
}

// WithService is the register with one service added or replaced.
func (reg Register) WithService(name string, svc Service) Register {
	reg.Services = with(reg.Services, name, svc)
	return reg
}

// WithServers is the service with other servers.
func (svc Service) WithServers(srvs ...Server) Service {
	svc.Servers = slices.Clone(srvs)
	return svc
}

// WithDeadlines is the search with other deadlines, in milliseconds; 0 leaves
// the soft one out.
func (sch Search) WithDeadlines(softMs, hardMs int64) Search {
	sch.SoftDeadlineMs = softMs
	sch.HardDeadlineMs = hardMs
	return sch
}

// WithHedge is the search with other hedging.
func (sch Search) WithHedge(hdg Hedge) Search {
	sch.Hedge = hdg
	return sch
}

// WithRetry is the search with other retries.
func (sch Search) WithRetry(rty Retry) Search {
	sch.Retry = rty
	return sch
}

func with[T any](vals map[string]T, name string, val T) map[string]T {
	out := make(map[string]T, len(vals)+1)
	maps.Copy(out, vals)
	out[name] = val
	return out
}
