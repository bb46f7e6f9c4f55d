// Package link carries request and response exchanges between entry instances. Two instances
// share yamux sessions over TCP, and each exchange is one yamux stream of length-delimited
// protobuf messages. Call makes a unary exchange; Forward sends an HTTP request and streams its
// response. Every error states whether a handler of the peer may have run. The bytes of every
// connection are counted by cause and zone pair.
package link
