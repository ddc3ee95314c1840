// Package reqlog collects the log lines that many VMs wrote about one request, and sorts them by
// time.
//
// # Usage
//
//	co := reqlog.New(reqlog.Config{ID: "4f7c8f65fcdc5ff2"})
//	for _, name := range files {
//		co.Read(name, reader)
//	}
//	lines := co.Lines()
//
// A request passes through several VMs: the one that the client connected to, the one that it
// was forwarded to, and those that joined answers for it. With hundreds of VMs their logs cannot
// be searched by eye.
//
// Logs are read as streams and only the request's lines are kept, up to a limit, so that memory
// use does not grow with the logs. Lines that are not JSON, or are longer than any line of a VM,
// are counted and skipped, because log collectors truncate and mix lines.
package reqlog
