package node

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"

	"laburnumvane/core/change"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
)

// messageOf puts an update into a message, deflated: documents repeat
// themselves, and what a VM may send for control is little.
func messageOf(up spread.Update) *inner.TeamConfig {
	tc := &inner.TeamConfig{Team: up.Team, Revision: up.Revision, ChangeId: up.ChangeID}
	deflated, err := deflate(up.Document)
	if err != nil || len(deflated) >= len(up.Document) {
		tc.Document = up.Document
		return tc
	}
	tc.Deflated = deflated
	return tc
}

func deflate(raw []byte) ([]byte, error) {
	var bu bytes.Buffer
	wr, err := flate.NewWriter(&bu, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := wr.Write(raw); err != nil {
		return nil, err
	}
	if err := wr.Close(); err != nil {
		return nil, err
	}
	return bu.Bytes(), nil
}

// inflate undoes deflate. What would grow beyond any document that the service
// takes is refused, lest one message fill the memory.
func inflate(deflated []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), change.MaxDocument+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > change.MaxDocument {
		return nil, errors.New("document too long")
	}
	return raw, nil
}

// updatesIn reads the updates of a message; one that cannot be inflated is left
// out and counted, and comes again with the next pull.
func (nd *Node) updatesIn(tcs []*inner.TeamConfig) []spread.Update {
	ups := make([]spread.Update, 0, len(tcs))
	for _, tc := range tcs {
		up := spread.Update{Team: tc.GetTeam(), Revision: tc.GetRevision(), ChangeID: tc.GetChangeId(), Document: tc.GetDocument()}
		if len(tc.GetDeflated()) > 0 {
			raw, err := inflate(tc.GetDeflated())
			if err != nil {
				nd.meter.Count(meterConfig, "messageUnreadable")
				continue
			}
			up.Document = raw
		}
		ups = append(ups, up)
	}
	return ups
}
