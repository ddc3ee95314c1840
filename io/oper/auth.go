package oper

import (
	"context"
	"crypto/subtle"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// authorize admits a request with the operators' token, or with a team's token if the request
// changes nothing outside the team's subtree.
func (op *Oper) authorize(ctx context.Context, rc *app.RequestContext) {
	if op.cfg.Token == "" {
		rc.Next(ctx)
		return
	}
	token, ok := bearer(string(rc.GetHeader("Authorization")))
	switch {
	case ok && equal(token, op.cfg.Token):
		rc.Next(ctx)
	case !ok:
		refuse(rc, consts.StatusUnauthorized, ReasonUnauthorized, "a bearer token is needed")
	default:
		op.authorizeTeam(ctx, rc, token)
	}
}

func (op *Oper) authorizeTeam(ctx context.Context, rc *app.RequestContext, token string) {
	team, ok := op.teamByToken(token)
	if !ok {
		refuse(rc, consts.StatusUnauthorized, ReasonUnauthorized, "the bearer token is not known")
		return
	}
	reads := string(rc.Method()) == consts.MethodGet
	if reads || rc.Param("team") == team {
		rc.Next(ctx)
		return
	}
	refuse(rc, consts.StatusForbidden, ReasonOtherTeam, "the token changes only team "+team)
}

// bearer returns the token of an Authorization header. The scheme is case-insensitive.
func bearer(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	return token, ok && strings.EqualFold(scheme, "Bearer")
}

func (op *Oper) teamByToken(token string) (string, bool) {
	found := ""
	// Every token is compared, so that the duration reveals nothing.
	for team, want := range op.cfg.TeamTokens {
		if equal(token, want) {
			found = team
		}
	}
	return found, found != ""
}

func equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
