// Package accept wraps a listener so that a server can be stopped without cutting off a request
// and without waiting for clients that keep idle connections open.
//
// # Usage
//
//	ln := accept.New(inner)
//	srv := server.New(server.WithListener(ln), server.WithOnAccept(accept.Context))
//	srv.Use(func(ctx context.Context, rc *app.RequestContext) {
//		defer accept.BeginRequest(ctx)()
//		rc.Next(ctx)
//	})
//	...
//	ln.Drain()
//	srv.Shutdown(ctx)
//
// # Why
//
// hertz's standard transport counts a connection as active from accept to close. Its Shutdown
// therefore waits for every client that keeps an idle connection, until the context ends, even
// if no request is running. With this package idle connections are closed at once. A connection
// on which a request is being read, run or answered is not closed until it would wait for the
// next request.
package accept
