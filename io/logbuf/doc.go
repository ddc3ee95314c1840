// Package logbuf queues log lines and writes them on a goroutine of its own, so that logging
// never blocks a VM.
//
// # Usage
//
//	qu := logbuf.New(logbuf.Config{Writer: &log.IOWriter{Writer: os.Stderr}, OnDrop: count})
//	logger.Writer = qu
//	defer qu.Close()
//
// Code that logs never waits for the output, which may be a pipe that is not being read. Errors
// have their own queue, which is written first, so that a flood of other lines, such as those of
// searches during an overload, cannot displace them. Lines that find their queue full are
// dropped and counted, and as soon as there is room a line says how many were lost.
package logbuf
