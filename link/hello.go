package link

import (
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

// protocolVersion is the version of the messages in link/wire.
const protocolVersion = 1

// maxHello bounds a Hello in bytes. It is small because the sender is not yet known.
const maxHello = 4 << 10

// ToWire converts an instance to its protobuf message.
func ToWire(i machine.Instance) *wire.Instance {
	return &wire.Instance{
		Id: i.ID, Incarnation: i.Incarnation, PeerAddr: i.PeerAddr, HttpAddr: i.HTTPAddr,
		Region: i.Zone.Region, DataCentre: i.Zone.DataCentre,
	}
}

// FromWire converts a protobuf message to an instance.
func FromWire(w *wire.Instance) machine.Instance {
	return machine.Instance{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), PeerAddr: w.GetPeerAddr(), HTTPAddr: w.GetHttpAddr(),
		Zone: zone.Zone{Region: w.GetRegion(), DataCentre: w.GetDataCentre()},
	}
}

// byteReader reads single bytes without buffering, so that it takes no byte that follows the
// Hello. It counts the bytes read.
type byteReader struct {
	io.Reader
	n int64
}

func (r *byteReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += int64(n)
	return n, err
}

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

func (n *Node) sendHello(conn net.Conn, toID string) (int64, error) {
	hello := &wire.Hello{From: ToWire(n.self), ToId: toID, Protocol: protocolVersion, Deployment: n.opts.Deployment}
	b, err := delimited(hello)
	if err != nil {
		return 0, err
	}
	written, err := conn.Write(b)
	return int64(written), err
}

func readHello(conn net.Conn) (*wire.Hello, int64, error) {
	var h wire.Hello
	r := &byteReader{Reader: conn}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHello}).UnmarshalFrom(r, &h); err != nil {
		return nil, r.n, err
	}
	if h.GetProtocol() != protocolVersion {
		return nil, r.n, fmt.Errorf("%w: %d", errProtocol, h.GetProtocol())
	}
	return &h, r.n, nil
}

// dialHandshake sends this instance's Hello and returns the instance that answers.
func (n *Node) dialHandshake(conn net.Conn, toID string) (machine.Instance, *counter, error) {
	_ = conn.SetDeadline(time.Now().Add(n.opts.HelloTimeout))
	sent, err := n.sendHello(conn, toID)
	if err != nil {
		return machine.Instance{}, nil, err
	}
	h, received, err := readHello(conn)
	if err != nil {
		return machine.Instance{}, nil, err
	}
	if h.GetDeployment() != n.opts.Deployment {
		return machine.Instance{}, nil, &Error{Code: WrongPeer, Op: "hello", RemoteMessage: "another deployment"}
	}
	peer := FromWire(h.GetFrom())
	overhead := n.account.counter(peer.Zone, CauseOverhead)
	overhead.add(sent, received)
	return peer, overhead, conn.SetDeadline(time.Time{})
}

// acceptHandshake reads the dialler's Hello and answers with this instance's. accepted is false
// for a dialler that expects another instance; it receives the answer all the same, so that it
// knows which instance it has reached. accepted is also false for a dialler of another
// deployment: when one deployment reuses addresses of another, their memberships would otherwise
// merge.
func (n *Node) acceptHandshake(conn net.Conn) (peer machine.Instance, overhead *counter, accepted bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(n.opts.HelloTimeout))
	h, received, err := readHello(conn)
	if err != nil {
		return machine.Instance{}, nil, false, err
	}
	peer = FromWire(h.GetFrom())
	sent, err := n.sendHello(conn, peer.ID)
	if err != nil {
		return machine.Instance{}, nil, false, err
	}
	overhead = n.account.counter(peer.Zone, CauseOverhead)
	overhead.add(sent, received)
	accepted = h.GetToId() == n.self.ID && h.GetDeployment() == n.opts.Deployment
	return peer, overhead, accepted, conn.SetDeadline(time.Time{})
}

// delimited returns m with its length prefix.
func delimited(m proto.Message) ([]byte, error) {
	var buf sliceWriter
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return nil, err
	}
	return buf, nil
}

type sliceWriter []byte

func (w *sliceWriter) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}
