package contr

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"laburnumvane/io/inner"
)

// PeerVM is a VM under test with a client of its inner protocol.
type PeerVM struct {
	Addr   string
	Client inner.Peer
	// Team is a team whose configuration the VM holds.
	Team string
}

// Peer checks the inner protocol of a VM: each call refuses versions that the VM does not support,
// and the VM returns the configuration that it holds.
func Peer(t *testing.T, start func(t *testing.T) PeerVM) {
	t.Helper()
	runClauses(t, start, []clause[PeerVM]{
		{"an unsupported version is refused", peerVersions},
		{"a heartbeat is answered with the VM's own identity", peerBeat},
		{"a pull returns what the caller lacks", peerPull},
		{"a brief pull returns revisions only", peerPullBrief},
		{"a search without a ticket of this VM is void", peerRunVoid},
	})
}

func peerVersions(t *testing.T, pv PeerVM) {
	calls := []struct {
		name string
		call func(ctx context.Context, version uint32) error
	}{
		{"beat", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Beat(ctx, &inner.BeatRequest{Version: version})
			return err
		}},
		{"probe", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Probe(ctx, &inner.ProbeRequest{Version: version, Target: &inner.VM{Addr: pv.Addr}})
			return err
		}},
		{"push", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Push(ctx, &inner.PushRequest{Version: version})
			return err
		}},
		{"pull", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Pull(ctx, &inner.PullRequest{Version: version})
			return err
		}},
		{"issue", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Issue(ctx, &inner.IssueRequest{Version: version, Team: pv.Team, Count: 1})
			return err
		}},
		{"run", func(ctx context.Context, version uint32) error {
			_, err := pv.Client.Run(ctx, &inner.RunRequest{Version: version, Request: []byte("{}")})
			return err
		}},
	}
	for _, ca := range calls {
		t.Run(ca.name, func(t *testing.T) {
			is := is.New(t)
			for _, version := range []uint32{0, inner.Version + 1, 1 << 31} {
				var te twirp.Error
				is.True(errors.As(ca.call(t.Context(), version), &te))
				is.Equal(te.Code(), twirp.InvalidArgument)
			}
			is.NoErr(ca.call(t.Context(), inner.Version))
		})
	}
}

func peerBeat(t *testing.T, pv PeerVM) {
	is := is.New(t)
	rp, err := pv.Client.Beat(t.Context(), &inner.BeatRequest{Version: inner.Version})
	is.NoErr(err)
	is.Equal(rp.GetVersion(), uint32(inner.Version))
	is.Equal(rp.GetFrom().GetAddr(), pv.Addr)
	is.True(rp.GetFrom().GetIncarnation() != 0)
	is.Equal(rp.GetLeaving(), false)
}

func peerPull(t *testing.T, pv PeerVM) {
	is := is.New(t)
	rp, err := pv.Client.Pull(t.Context(), &inner.PullRequest{Version: inner.Version})
	is.NoErr(err)
	is.Equal(len(rp.GetTeams()), 1)
	tc := rp.GetTeams()[0]
	is.Equal(tc.GetTeam(), pv.Team)
	is.True(json.Valid(documentOf(t, tc)))
	rp, err = pv.Client.Pull(t.Context(), &inner.PullRequest{
		Version: inner.Version,
		Held:    []*inner.TeamRevision{{Team: tc.GetTeam(), Revision: tc.GetRevision(), ChangeId: tc.GetChangeId()}},
	})
	is.NoErr(err)
	is.Equal(len(rp.GetTeams()), 0) // the caller holds it already
}

// documentOf returns the document, inflated if necessary.
func documentOf(t *testing.T, tc *inner.TeamConfig) []byte {
	t.Helper()
	if len(tc.GetDeflated()) == 0 {
		return tc.GetDocument()
	}
	raw, err := io.ReadAll(flate.NewReader(bytes.NewReader(tc.GetDeflated())))
	is.New(t).NoErr(err)
	return raw
}

func peerPullBrief(t *testing.T, pv PeerVM) {
	is := is.New(t)
	rp, err := pv.Client.Pull(t.Context(), &inner.PullRequest{Version: inner.Version, Brief: true})
	is.NoErr(err)
	is.Equal(len(rp.GetTeams()), 0)
	is.Equal(len(rp.GetHeld()), 1)
	is.Equal(rp.GetHeld()[0].GetTeam(), pv.Team)
}

func peerRunVoid(t *testing.T, pv PeerVM) {
	is := is.New(t)
	body := []byte(`{"team":"` + pv.Team + `","search":"x","query":{},"ticket":"none"}`)
	rp, err := pv.Client.Run(t.Context(), &inner.RunRequest{Version: inner.Version, Request: body})
	is.NoErr(err)
	is.True(rp.GetVoid())
	_, err = pv.Client.Run(t.Context(), &inner.RunRequest{Version: inner.Version, Request: []byte("{")})
	var te twirp.Error
	is.True(errors.As(err, &te))
	is.Equal(te.Code(), twirp.InvalidArgument)
}
