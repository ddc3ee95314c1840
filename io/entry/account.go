package entry

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/phuslu/log"

	"laburnumvane/core/acct"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/remote"
)

// The VM that a client reaches authenticates its requests. It removes the key from the request
// before anything is sent, logged or stored; servers get the name of the account in its place, and
// other VMs the name and the digest of the key.

const (
	headerAuthorization   = "Authorization"
	headerWWWAuthenticate = "WWW-Authenticate"
	// challenge is the value of WWW-Authenticate, which a response with status 401 must have.
	challenge = "Bearer"
)

// authenticate finds the account of a client's request and removes its credentials. It returns the
// response if the request is refused; nothing has been sent or counted against a limit then.
func (en *Entry) authenticate(tb *route.Table, rt *route.Route, rq *request) *response {
	if tb.Accounts() == nil {
		return nil
	}
	return en.authenticateWith(tb.Accounts(), rt, rq, en.removeCredentials(rq))
}

func (en *Entry) authenticateWith(at *acct.Table, rt *route.Route, rq *request, values []string) *response {
	de := at.Authenticate(en.cfg.Keys, acct.Attempt{Values: values, Public: rt.Public, Age: rq.copyAge})
	if de.Reason != "" {
		return en.refuseKey(rq, de)
	}
	if de.Credential.Account != nil {
		en.setAccount(rq, de.Credential)
	}
	return nil
}

// removeCredentials removes the credentials and any account header from the fields of a request,
// and returns the values of the former.
func (en *Entry) removeCredentials(rq *request) (values []string) {
	kept := rq.fields[:0]
	for _, fi := range rq.fields {
		switch {
		case strings.EqualFold(fi.name, headerAuthorization):
			values = append(values, fi.value)
		case strings.EqualFold(fi.name, en.cfg.Names.Account):
		default:
			kept = append(kept, fi)
		}
	}
	clear(rq.fields[len(kept):])
	rq.fields = kept
	return values
}

// setAccount sets the account of a request, also among the fields that are sent to servers and to
// other VMs: VMs of older builds pass these on unchanged.
func (en *Entry) setAccount(rq *request, cr acct.Credential) {
	rq.account, rq.keyDigest = cr.Account, cr.Digest
	rq.fields = append(rq.fields, field{name: en.cfg.Names.Account, value: cr.Account.Name})
}

// refuseKey refuses a request because of its key. After a refusal for lack of updates the
// connection is closed, so that the client's next request may reach a VM that has them.
func (en *Entry) refuseKey(rq *request, de acct.Decision) *response {
	reason := string(de.Reason)
	if de.Reason.Temporary() {
		rs := refusalResponse(consts.StatusServiceUnavailable, reason, "this VM's list of keys may be out of date")
		rs.setRetryAfter(de.Wait)
		rs.closesConn = true
		en.logRefused(rq, rs.status, reason)
		return rs
	}
	rs := refusalResponse(consts.StatusUnauthorized, reason, "the request needs a valid key")
	rs.add(headerWWWAuthenticate, challenge)
	en.logRefused(rq, rs.status, reason)
	return rs
}

// authenticateForwarded finds the account of a request that another VM forwarded, and replaces the
// credentials and the account header among its fields. It returns the reason to decline the
// request, or the response if the request is refused.
func (en *Entry) authenticateForwarded(tb *route.Table, rt *route.Route, rq *request, cr *inner.CarryRequest) (reason string, rs *response) {
	at, name := tb.Accounts(), cr.GetAccount()
	if at == nil {
		if name != "" {
			return remote.ReasonOtherRoute, nil
		}
		return "", nil
	}
	values := en.removeCredentials(rq)
	if name == "" {
		// The request has no account, or a VM of an older build, or one whose configuration has no
		// accounts yet, forwarded it with the key.
		if rs = en.authenticateWith(at, rt, rq, values); rs != nil {
			en.cfg.Meter.Count(meter.Refusal, rs.refusal.Reason)
		}
		return "", rs
	}
	digest := acct.Digest(cr.GetKeyDigest())
	ac, ok := at.Verify(name, digest)
	if !ok || !en.cfg.Keys.AcceptsKeys(rq.copyAge) {
		return remote.ReasonOtherRoute, nil
	}
	en.setAccount(rq, acct.Credential{Account: ac, Digest: digest})
	return "", nil
}

// matchJoined finds the route and the account of a request that another VM wants to have joined, or
// returns the reason to decline it. The other VM then sends the request to the servers itself.
func (en *Entry) matchJoined(vw *plan.View, rq *request, cr *inner.CarryRequest) string {
	rt, reason := en.matchForwarded(vw, rq, cr)
	if reason != "" {
		return reason
	}
	reason, rs := en.authenticateForwarded(vw.Routes(), rt, rq, cr)
	if rs != nil {
		return remote.ReasonOtherRoute
	}
	return reason
}

// accountName returns the name of the request's account, or an empty string if it has none.
func (rq *request) accountName() string {
	if rq.account == nil {
		return ""
	}
	return rq.account.Name
}

// logAccount adds the account to a log line, if the request has one.
func (rq *request) logAccount(line *log.Entry) *log.Entry {
	if rq.account == nil {
		return line
	}
	return line.Str("account", rq.account.Name)
}

// priority returns the priority of a request: that of its account, if it has one, or else that of
// its route.
func (rq *request) priority(rt *route.Route) int {
	if rq.account != nil && rq.account.HasPriority {
		return rq.account.Priority
	}
	return rt.Priority
}
