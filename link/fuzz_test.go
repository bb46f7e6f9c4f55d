package link_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
)

// Guards against malformed input that crashes or blocks a node: after each input the node must
// still answer a peer. If withHello is set, the input follows a valid Hello, so that it reaches
// yamux and the messages in its streams.
func FuzzConnection(f *testing.F) {
	a := startPeer(f, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(f, "b", 1, anyPort(), link.Options{HelloTimeout: 20 * time.Millisecond}, echo)
	var hello, request bytes.Buffer
	if _, err := protodelim.MarshalTo(&hello, &wire.Hello{From: link.ToWire(a.self), ToId: "b", Protocol: 1}); err != nil {
		f.Fatal(err)
	}
	if _, err := protodelim.MarshalTo(&request, &wire.Request{Method: "echo", Payload: []byte("x")}); err != nil {
		f.Fatal(err)
	}
	// A yamux header: version 0, data, SYN, stream 1, the length of the request.
	frame := append([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, byte(request.Len())}, request.Bytes()...)
	f.Add(false, hello.Bytes())
	f.Add(true, frame)
	f.Add(true, []byte{0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add(false, []byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, withHello bool, data []byte) {
		conn, err := net.Dial("tcp", b.self.PeerAddr)
		if err != nil {
			t.Fatal(err)
		}
		if withHello {
			data = append(bytes.Clone(hello.Bytes()), data...)
		}
		// The write may fail, since the node may close the connection on malformed input.
		_, _ = conn.Write(data)
		_ = conn.Close()
		if _, err := a.Call(t.Context(), b.self, link.CauseProbe, "echo", []byte("ping")); err != nil {
			t.Fatalf("the node no longer answers: %v", err)
		}
	})
}
