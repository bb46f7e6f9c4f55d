package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/iter"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/entry/wire"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

const (
	// statusMethod is the peer method that returns an instance's status.
	statusMethod = "entry.status"
	// statusTimeout bounds a status request to one peer, so that an unreachable peer does not delay
	// the answer.
	statusTimeout = 2 * time.Second
	// statusConcurrency bounds the concurrent status requests to peers.
	statusConcurrency = 32
	causeStatus       = link.Cause("status")
)

// status returns the current status of this instance.
func (i *Instance) status() *wire.Status {
	state := i.feed.State()
	readiness := i.readiness()
	status := &wire.Status{
		Id:            i.self.ID,
		Incarnation:   i.self.Incarnation,
		Region:        i.self.Zone.Region,
		DataCentre:    i.self.Zone.DataCentre,
		HttpAddr:      i.self.HTTPAddr,
		AdminAddr:     i.AdminAddr(),
		Ready:         readiness.Ready,
		Draining:      i.draining.Load(),
		WaitingFor:    readiness.WaitingFor,
		LogReachable:  i.feed.LogReachable(),
		StartedUnixMs: i.started.UnixMilli(),
		InFlight:      i.inFlight.Load(),
	}
	if state != nil {
		status.ControlOffset = state.Offset
		status.ControlChain = state.Chain
		status.CatalogRevision = state.Catalog.Revision()
	}
	for _, peer := range i.members.Live() {
		status.LivePeers = append(status.LivePeers, peer.ID)
	}
	return status
}

// readiness reports whether the instance serves requests and, if not, what it waits for.
func (i *Instance) readiness() operator.Readiness {
	if i.draining.Load() {
		return operator.Readiness{WaitingFor: "drain to finish"}
	}
	select {
	case <-i.feed.Ready():
		return operator.Readiness{Ready: true}
	default:
		return operator.Readiness{WaitingFor: i.feed.WaitingFor()}
	}
}

// handleStatus answers a status request of a peer.
func (i *Instance) handleStatus(context.Context, []byte) ([]byte, error) {
	return proto.Marshal(i.status())
}

// allStatuses returns the status of every live instance. For a peer that does not answer, the status
// holds the error in Unreachable.
func (i *Instance) allStatuses(ctx context.Context) []operator.Status {
	mapper := iter.Mapper[machine.Instance, operator.Status]{MaxGoroutines: statusConcurrency}
	return mapper.Map(i.members.Live(), func(peer *machine.Instance) operator.Status {
		return i.peerStatus(ctx, *peer)
	})
}

// peerStatus asks one instance for its status; it does not ask itself over the link.
func (i *Instance) peerStatus(ctx context.Context, peer machine.Instance) operator.Status {
	if peer.Ref() == i.self.Ref() {
		return statusFromWire(i.status())
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status wire.Status
	payload, err := i.node.Call(ctx, peer, causeStatus, statusMethod, nil)
	if err == nil {
		err = proto.Unmarshal(payload, &status)
	}
	if err != nil {
		return operator.Status{
			ID: peer.ID, Incarnation: peer.Incarnation,
			Region: peer.Zone.Region, DataCentre: peer.Zone.DataCentre,
			HTTPAddr: peer.HTTPAddr, Unreachable: err.Error(),
		}
	}
	return statusFromWire(&status)
}

// statusFromWire converts a status message to the form that operators get.
func statusFromWire(s *wire.Status) operator.Status {
	return operator.Status{
		ID:              s.GetId(),
		Incarnation:     s.GetIncarnation(),
		Region:          s.GetRegion(),
		DataCentre:      s.GetDataCentre(),
		HTTPAddr:        s.GetHttpAddr(),
		AdminAddr:       s.GetAdminAddr(),
		Ready:           s.GetReady(),
		Draining:        s.GetDraining(),
		WaitingFor:      s.GetWaitingFor(),
		ControlOffset:   s.GetControlOffset(),
		ControlChain:    fmt.Sprintf("%016x", s.GetControlChain()),
		CatalogRevision: s.GetCatalogRevision(),
		LogReachable:    s.GetLogReachable(),
		StartedUnixMs:   s.GetStartedUnixMs(),
		InFlight:        s.GetInFlight(),
		LivePeers:       s.GetLivePeers(),
	}
}

// loadReport returns the last load report of a back end, corrected by this instance's own requests,
// or an empty report if there is none.
func (i *Instance) loadReport(backendID string) platform.LoadReport {
	report, _ := i.health.Report(backendID)
	return report
}

// CatalogRevision returns the catalog revision that this instance has applied.
func (i *Instance) CatalogRevision() int64 { return i.feed.State().Catalog.Revision() }

// LiveInstances returns the instances that this instance considers live, itself included.
func (i *Instance) LiveInstances() []machine.Instance { return i.members.Live() }

// Ready returns a channel that is closed when the instance has the state of the control stream.
func (i *Instance) Ready() <-chan struct{} { return i.feed.Ready() }

// LinkBytes returns the bytes exchanged with peers, by zone pair and cause.
func (i *Instance) LinkBytes() []link.Traffic { return i.node.Bytes() }
