package edge

import (
	"net"
	"net/http"

	"laburnumvane/io/entry"
	"laburnumvane/io/inner"
)

func (eg *Edge) listen() error {
	clients, err := net.Listen("tcp", eg.set.ClientAddr)
	if err != nil {
		return &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.entry = entry.New(entry.Config{
		Listener:    clients,
		DataCentre:  eg.set.Self.DataCentre,
		Capacity:    eg.set.Capacity,
		Names:       eg.cfg.Names,
		Clock:       eg.clock,
		View:        eg.view.Load,
		Configured:  eg.configured,
		Relay:       eg.pool,
		Steer:       eg.steer,
		Load:        eg.cfg.Decoder.Load,
		WarmUp:      eg.warmUp,
		HomeClient:  eg.homeClient,
		Gauge:       eg.gauge,
		Poison:      eg.poison,
		SharePoison: eg.poisonWriter.add,
		SendHint:    eg.sendHint,
		Meter:       eg.meter,
		Log:         eg.cfg.Log,
		Off:         eg.set.Off,
		CopyAge:     eg.follow.AppliedAge,
		Keys:        eg.keyPolicy(),
		Quota:       eg.set.Quota,
		DataCentres: len(eg.set.Regions),
	})
	innerLn, err := net.Listen("tcp", eg.set.InnerAddr)
	if err != nil {
		return &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.inner = &http.Server{Handler: eg.innerHandler(), ReadHeaderTimeout: innerHeaderTimeout}
	checks, err := eg.listenChecks()
	if err != nil {
		return err
	}
	eg.checks = checks
	if eg.set.MetricsAddr != "" {
		if eg.metrics, err = eg.listenMetrics(); err != nil {
			return err
		}
	}
	eg.serve("clients", eg.entry.Serve)
	eg.serve("checks", eg.checks.Run)
	eg.serve("inner", func() error { return eg.inner.Serve(innerLn) })
	if eg.metrics != nil {
		eg.serve("metrics", eg.metrics.Run)
	}
	return nil
}

// innerHandler returns the handler of the protocols between VMs.
func (eg *Edge) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(inner.FeedPathPrefix, inner.NewFeedServer(eg.follow))
	mux.Handle(inner.HomePathPrefix, inner.NewHomeServer(eg.entry))
	return http.MaxBytesHandler(mux, maxInnerBodyBytes)
}

// serve runs a listener in the background and logs an error if it ends before the stop.
func (eg *Edge) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil && !eg.leaving.Load() {
			eg.cfg.Log.Error().Str("listener", name).Err(err).Msg("listener failed")
		}
	}()
}
