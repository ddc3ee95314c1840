// Package story finds what many VMs logged of one request, and puts it in order.
//
// # Usage
//
//	st := story.New(story.Config{ID: "4f7c8f65fcdc5ff2"})
//	for _, name := range files {
//		st.Read(name, reader)
//	}
//	lines := st.Lines()
//
// A request crosses several VMs: the one that a client reached, the one that took it,
// those that joined answers for it. With hundreds of VMs nobody reads their logs by eye.
//
// Logs are read as they come and only the lines of the request are kept, up to a bound,
// so that memory does not grow with them. A line that is not JSON, or is longer than a
// VM writes, is counted and passed over: collectors cut and mix lines.
package story
