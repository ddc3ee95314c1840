// Package inner has the messages and stubs of the protocol between VMs. They are generated from the
// .proto files by buf, protoc-gen-go and protoc-gen-twirp. The generated files are committed, so
// that the build needs no generator.
//
// # Usage
//
// A VM serves inner.NewPeerServer(impl) under inner.PeerPathPrefix and calls other VMs through
// inner.NewPeerProtobufClient. Every request has a Version. A VM refuses versions that it does not
// support, and keeps unknown fields.
package inner

//go:generate go -C ../.. tool -modfile=tools/buf/go.mod buf generate --template tools/buf.gen.yaml --path io/inner

// Version is the protocol version of this build.
const Version = 1
