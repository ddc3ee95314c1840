package team

import (
	"encoding/json"
	"maps"
	"slices"
)

// Canonical returns the canonical encoding of the document: fields in the order of the
// format, names sorted, defaults filled in. Equal documents have the same encoding, and Parse
// decodes it to an equal Document.
func (doc Document) Canonical() []byte {
	raw, err := json.Marshal(doc)
	if err != nil {
		// Only numbers that are not finite cannot be encoded, and Parse rejects these.
		panic("team: Canonical: " + err.Error())
	}
	return raw
}

// WithLimits returns a copy of the document with other limits.
func (doc Document) WithLimits(lim Limits) Document {
	doc.Limits = lim
	return doc
}

// WithSearch returns a copy of the document with one kind of search added or replaced.
func (doc Document) WithSearch(name string, sch Search) Document {
	doc.Searches = withEntry(doc.Searches, name, sch)
	return doc
}

// WithoutSearch returns a copy of the document without one kind of search.
func (doc Document) WithoutSearch(name string) Document {
	doc.Searches = maps.Clone(doc.Searches)
	delete(doc.Searches, name)
	return doc
}

// WithRegister returns a copy of the document with one register added or replaced.
func (doc Document) WithRegister(name string, reg Register) Document {
	doc.Registers = withEntry(doc.Registers, name, reg)
	return doc
}

// WithService returns a copy of the register with one service added or replaced.
func (reg Register) WithService(name string, svc Service) Register {
	reg.Services = withEntry(reg.Services, name, svc)
	return reg
}

// WithServers returns a copy of the service with other servers.
func (svc Service) WithServers(srvs ...Server) Service {
	svc.Servers = slices.Clone(srvs)
	return svc
}

// WithDeadlines returns a copy of the search with other deadlines, in milliseconds; a softMs
// of 0 means no soft deadline.
func (sch Search) WithDeadlines(softMs, hardMs int64) Search {
	sch.SoftDeadlineMs = softMs
	sch.HardDeadlineMs = hardMs
	return sch
}

// WithHedge returns a copy of the search with other hedge settings.
func (sch Search) WithHedge(hdg Hedge) Search {
	sch.Hedge = hdg
	return sch
}

// WithRetry returns a copy of the search with other retry settings.
func (sch Search) WithRetry(rty Retry) Search {
	sch.Retry = rty
	return sch
}

func withEntry[T any](vals map[string]T, name string, val T) map[string]T {
	out := make(map[string]T, len(vals)+1)
	maps.Copy(out, vals)
	out[name] = val
	return out
}
