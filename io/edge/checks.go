package edge

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/origin"
	"laburnumvane/io/guard"
)

type upstream = origin.Upstream

// checkTimeout limits how long the headers of a check may take to arrive; the balancer checks
// once a second.
const checkTimeout = 10 * time.Second

// listenChecks opens the listener of the balancer's readiness check.
func (eg *Edge) listenChecks() (*server.Hertz, error) {
	hz, err := eg.newSmallServer(eg.set.ReadyAddr)
	if err != nil {
		return nil, err
	}
	hz.GET(eg.set.ReadyPath, func(_ context.Context, rc *app.RequestContext) {
		if eg.leaving.Load() || eg.cutOff.Load() || !eg.ready.Load() {
			rc.SetStatusCode(consts.StatusServiceUnavailable)
			return
		}
		rc.SetStatusCode(consts.StatusOK)
	})
	return hz, nil
}

// listenMetrics opens the listener of the metrics, which are one value a line, and of the use of
// accounts, which is JSON.
func (eg *Edge) listenMetrics() (*server.Hertz, error) {
	hz, err := eg.newSmallServer(eg.set.MetricsAddr)
	if err != nil {
		return nil, err
	}
	hz.GET(eg.set.MetricsPath, func(_ context.Context, rc *app.RequestContext) {
		rc.SetContentType("text/plain; charset=utf-8")
		rc.Response.SetBodyString(eg.meter.Text() + eg.entry.AccountCounters())
	})
	hz.GET(eg.set.MetricsPath+"/accounts", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, eg.entry.AccountUsage(rc.Query("account")))
	})
	return hz, nil
}

// newSmallServer creates a server for few and small requests.
func (eg *Edge) newSmallServer(addr string) (*server.Hertz, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	gc := guard.Config{RequestTime: checkTimeout}
	return guard.New(guard.Listen(ln, gc), gc), nil
}
