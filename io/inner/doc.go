// Package inner is the protocol between the VMs of laburnumvane: messages and
// stubs generated from inner.proto by protoc, protoc-gen-go and
// protoc-gen-twirp. The generated files are committed, so that the build needs
// no generator.
//
// # Usage
//
// A VM serves inner.NewPeerServer(impl) under inner.PeerPathPrefix and calls
// others through inner.NewPeerProtobufClient. Every request carries Version;
// a VM refuses versions it cannot read and keeps fields it does not know.
package inner

//go:generate protoc --go_out=../.. --go_opt=module=laburnumvane --twirp_out=../.. --twirp_opt=module=laburnumvane --proto_path=../.. io/inner/inner.proto

// Version is the protocol version that this build speaks.
const Version = 1
