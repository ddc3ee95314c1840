// Package lines keeps a VM's log from slowing it down: lines are queued, and one
// goroutine writes them.
//
// # Usage
//
//	qu := lines.New(lines.Config{Writer: &log.IOWriter{Writer: os.Stderr}, Lost: count})
//	logger.Writer = qu
//	defer qu.Close()
//
// Nothing that logs ever waits for the output, which may be a pipe that nobody
// reads. Errors have a queue of their own, so that a flood of other lines, as of
// searches in an overload, cannot push them out; they are written first. What
// finds its queue full is dropped and counted, and a line says how many were
// lost as soon as there is room.
package lines
