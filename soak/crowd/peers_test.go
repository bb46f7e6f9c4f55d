package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cicadasill/cicadasill/link/wire"
)

// A crowd that speaks the protocol of the instances. Each of its streams sends a message that stops before its last byte.
const (
	peerConns      = 20
	peerStreams    = 10
	peerFrameBytes = 4 << 20
	// streamWriteTimeout ends the write of a message that the process does not read.
	streamWriteTimeout = 2 * time.Second
)

// sendFrames opens the connections and sends the messages. It returns a function that closes the connections.
func sendFrames(addr, deployment string) func() {
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, &wire.Request{Method: "crowd", Payload: filler(peerFrameBytes)}); err != nil {
		panic(err)
	}
	text := frame.Bytes()[:frame.Len()-1]
	return closeAll(openAll(addr, peerConns, func(n int, conn net.Conn) {
		session := greet(conn, fmt.Sprint("crowd-", n), deployment)
		if session == nil {
			return // refused
		}
		var streams sync.WaitGroup
		for range peerStreams {
			streams.Go(func() {
				stream, err := session.OpenStream()
				if err != nil {
					return // refused
				}
				_ = stream.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
				_, _ = stream.Write(text) // refused if this fails
			})
		}
		streams.Wait()
	}))
}

// greet exchanges the first messages of a connection. It returns nil if the process refuses them.
func greet(conn net.Conn, id, deployment string) *yamux.Session {
	_ = conn.SetDeadline(time.Now().Add(writeTimeout))
	hello := &wire.Hello{From: &wire.Instance{Id: id, Incarnation: 1}, ToId: "instance-0", Protocol: 1, Deployment: deployment}
	if _, err := protodelim.MarshalTo(conn, hello); err != nil {
		return nil
	}
	var answer wire.Hello
	if err := protodelim.UnmarshalFrom(byteReader{conn}, &answer); err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	if err != nil {
		return nil
	}
	return session
}

// byteReader reads single bytes, so that it takes none that follows a message.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

func checkFrames(t *testing.T, tg *target, port, deployment string) {
	stopWatch, most := watchDescriptors(tg.process)
	closeConns := sendFrames(tg.ports[port], deployment)
	defer closeConns()
	await(t, tg.process, "an ordinary request is answered while the crowd stays", func() bool { return tg.ordinary() == nil })
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, bodyFDs)
}

// Guards against messages at the peers' port that stop short of their end and take the memory.
func TestFramesAtThePeersPort(t *testing.T) { checkFrames(t, hostedUnder(smallLimit)(t), "peers", "") }

// Guards against the same at an instance of the system's own interface.
func TestFramesAtTheOwnPeersPort(t *testing.T) { checkFrames(t, startOwnSmall(t), "peer", "crowd") }
