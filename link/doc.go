// Package link carries exchanges between entry instances. Two instances share yamux sessions
// over TCP; each exchange is one yamux stream of length-delimited protobuf messages. Call is a
// unary exchange, Forward carries an HTTP request and streams its response. An error states
// whether a byte of the exchange may have reached the peer's handler. The wire bytes of every
// connection are accounted by cause and zone pair.
package link
