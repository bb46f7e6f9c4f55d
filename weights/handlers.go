package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// AnnounceRequest is the request body of an announcement.
type AnnounceRequest struct {
	Version int64  `json:"version"`
	Trainer string `json:"trainer"`
}

// VersionStatus describes a version and lists the samplers that run it.
type VersionStatus struct {
	AnnouncedVersion
	Samplers []string `json:"samplers"`
}

// ListResponse lists the versions of a service.
type ListResponse struct {
	Newest   int64           `json:"newest"`
	Versions []VersionStatus `json:"versions"`
	// Unknown lists the samplers that gave no load report.
	Unknown []string `json:"unknown,omitempty"`
}

// maxAnnounceBytes is the maximum size of the request body of an announcement.
const maxAnnounceBytes = 4096

// reportConcurrency is the maximum number of concurrent requests for load reports.
const reportConcurrency = 32

// Register adds the routes for announcing, withdrawing and listing versions to r.
func (d *Distributor) Register(r *httprouter.Router) {
	r.POST("/v1/services/:service/versions", d.handleAnnounce)
	r.DELETE("/v1/services/:service/versions/:version", d.handleWithdraw)
	r.GET("/v1/services/:service/versions", d.handleList)
}

func (d *Distributor) handleAnnounce(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	svc, ok := d.opts.Directory.Service(p.ByName("service"))
	if !ok {
		writeError(w, errorf(CodeUnknownService, "no service %q", p.ByName("service")))
		return
	}
	var req AnnounceRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeError(w, errorf(CodeBadRequest, "body: %v", err))
		return
	}
	if err := d.announce(r.Context(), svc, req); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, req)
}

func (d *Distributor) announce(ctx context.Context, svc *contract.Service, req AnnounceRequest) *Error {
	if req.Version < 1 {
		return errorf(CodeBadRequest, "version %d is below 1", req.Version)
	}
	if _, ok := svc.Trainer(req.Trainer); !ok {
		return errorf(CodeNotATrainer, "%q is not a trainer of %q", req.Trainer, svc.Name)
	}
	if d.opts.Directory.Withdrawn(svc.Name, req.Version) {
		return errorf(CodeWithdrawn, "version %d was withdrawn", req.Version)
	}
	if err := d.opts.Announcer.AnnounceVersion(ctx, svc.Name, req.Version, req.Trainer); err != nil {
		return appendError(err)
	}
	return nil
}

func (d *Distributor) handleWithdraw(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	svc, ok := d.opts.Directory.Service(p.ByName("service"))
	if !ok {
		writeError(w, errorf(CodeUnknownService, "no service %q", p.ByName("service")))
		return
	}
	version, err := strconv.ParseInt(p.ByName("version"), 10, 64)
	if err != nil || version < 1 {
		writeError(w, errorf(CodeBadRequest, "version %q is not a positive integer", p.ByName("version")))
		return
	}
	if !d.isKnown(svc.Name, version) {
		writeError(w, errorf(CodeUnknownVersion, "version %d was not announced", version))
		return
	}
	if err := d.opts.Announcer.WithdrawVersion(r.Context(), svc.Name, version); err != nil {
		writeError(w, appendError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// isKnown reports whether a version was announced or withdrawn.
func (d *Distributor) isKnown(service string, version int64) bool {
	if d.opts.Directory.Withdrawn(service, version) {
		return true // the withdrawal is repeated
	}
	for _, a := range d.opts.Directory.Announced(service) {
		if a.Version == version {
			return true
		}
	}
	return false
}

func (d *Distributor) handleList(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	svc, ok := d.opts.Directory.Service(p.ByName("service"))
	if !ok {
		writeError(w, errorf(CodeUnknownService, "no service %q", p.ByName("service")))
		return
	}
	writeJSON(w, http.StatusOK, d.listVersions(r.Context(), svc))
}

// listVersions returns every announced version, and those that a sampler runs without an announcement.
func (d *Distributor) listVersions(ctx context.Context, svc *contract.Service) ListResponse {
	resp := ListResponse{Newest: d.opts.Directory.Newest(svc.Name), Versions: []VersionStatus{}}
	running := make(map[int64][]string)
	reports := d.loadReports(ctx, svc.Backends)
	for _, b := range svc.Backends {
		if rep, ok := reports[b.ID]; ok {
			running[rep.Version] = append(running[rep.Version], b.ID)
		} else {
			resp.Unknown = append(resp.Unknown, b.ID)
		}
	}
	for _, a := range d.opts.Directory.Announced(svc.Name) {
		resp.Versions = append(resp.Versions, VersionStatus{AnnouncedVersion: a, Samplers: append([]string{}, running[a.Version]...)})
		delete(running, a.Version)
	}
	for v, samplers := range running {
		resp.Versions = append(resp.Versions, VersionStatus{AnnouncedVersion: AnnouncedVersion{Version: v}, Samplers: samplers})
	}
	sort.Slice(resp.Versions, func(i, j int) bool { return resp.Versions[i].Version < resp.Versions[j].Version })
	return resp
}

// loadReports requests the load reports of samplers, keyed by back end id. Samplers that do not answer are
// missing from the result.
func (d *Distributor) loadReports(ctx context.Context, backends []machine.Backend) map[string]platform.LoadReport {
	var mu sync.Mutex
	out := make(map[string]platform.LoadReport, len(backends))
	workers := pool.New().WithMaxGoroutines(reportConcurrency)
	for _, b := range backends {
		workers.Go(func() {
			rep, err := d.loadReport(ctx, b)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[b.ID] = rep
		})
	}
	workers.Wait()
	return out
}

func (d *Distributor) loadReport(ctx context.Context, b machine.Backend) (platform.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.ReportTimeout)
	defer cancel()
	return d.opts.Engine.Load(ctx, b.Addr)
}
