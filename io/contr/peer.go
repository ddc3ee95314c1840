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

// PeerVM is a VM as other VMs see it.
type PeerVM struct {
	Addr   string
	Client inner.Peer
	// Team is a team whose configuration the VM holds.
	Team string
}

// Peer holds a VM to the inner protocol: versions that it does not read are
// refused by each call, and what it holds can be had.
func Peer(t *testing.T, start func(t *testing.T) PeerVM) {
	t.Helper()
	run(t, start, []clause[PeerVM]{
		{"a version that is not read is refused", peerVersions},
		{"a beat is answered by the VM itself", peerBeat},
		{"pull gives what the asker lacks", peerPull},
		{"pull in brief gives revisions only", peerPullBrief},
		{"a search without this VM's ticket is void", peerRunVoid},
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
	is.Equal(len(rp.GetTeams()), 0) // it has that already
}

// documentOf gives the document, which may come deflated.
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
