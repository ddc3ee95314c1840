// Package inner is the protocol between the VMs of laburnumvane: messages and
// stubs generated from inner.proto by buf, protoc-gen-go and
// protoc-gen-twirp. The generated files are committed, so that the build needs
// no generator.
//
// # Usage
//
// A VM serves inner.NewPeerServer(impl) under inner.PeerPathPrefix and calls
// others through inner.NewPeerProtobufClient. Every request carries Version;
// a VM refuses versions it cannot read and keeps fields it does not know.
package inner

//go:generate go -C ../.. tool -modfile=tools/buf/go.mod buf generate --template tools/buf.gen.yaml --path io/inner

// Version is the protocol version that this build speaks.
const Version = 1
