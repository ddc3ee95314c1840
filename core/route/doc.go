// Package route holds the routes of one version of the configuration: which services requests
// go to, how often they may be sent, and how long they may take.
//
// # Usage
//
//	tb := route.New(route.Config{Version: 7, Routes: routes, Services: services, Limits: limits})
//	rt, ok := tb.Match("search.example", "/plates/2f")
//	tb = tb.WithLimits(limits)
//
// A Table is immutable. A request uses the version that was in force when it arrived, even if
// newer versions follow while it runs.
package route
