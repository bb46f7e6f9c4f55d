package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sort"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxNoteBytes bounds the body of a request that carries a release note.
const maxNoteBytes = 4 << 20

// noteFactor is the memory that a release note takes in relation to its body: its standard form and what is decoded from it.
const noteFactor = 3

// adminHandler returns the handler of the admin interface: health, readiness, metrics, status,
// release notes and drain.
func (i *Instance) adminHandler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", i.serveHealth)
	router.GET("/readyz", i.serveReadiness)
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(i.gatherer, promhttp.HandlerOpts{}))
	router.GET("/v1/status", i.serveStatus)
	router.GET("/v1/instances", i.serveInstances)
	router.GET("/v1/services", i.serveServices)
	router.GET("/v1/services/:service", i.serveService)
	router.GET("/v1/services/:service/backends", i.serveBackends)
	router.POST("/v1/note-checks", i.serveNoteCheck)
	router.POST("/v1/notes", i.servePublish)
	router.GET("/v1/notes", i.serveNotes)
	router.GET("/v1/notes/:id", i.serveNote)
	router.GET("/v1/notes/:id/in-force", i.serveInForce)
	router.POST("/v1/drain", i.serveDrain)
	if i.config.Pprof {
		registerPprof(router)
	}
	return router
}

// registerPprof adds the profiles of net/http/pprof to the admin interface.
func registerPprof(router *httprouter.Router) {
	router.HandlerFunc(http.MethodGet, "/debug/pprof/", pprof.Index)
	router.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	router.HandlerFunc(http.MethodGet, "/debug/pprof/trace", pprof.Trace)
	router.HandlerFunc(http.MethodGet, "/debug/pprof/symbol", pprof.Symbol)
	for _, profile := range []string{"allocs", "block", "goroutine", "heap", "mutex", "threadcreate"} {
		router.Handler(http.MethodGet, "/debug/pprof/"+profile, pprof.Handler(profile))
	}
}

func (i *Instance) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
}

func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	readiness := i.readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness)
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, statusFromWire(i.status()))
}

func (i *Instance) serveInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, i.allStatuses(r.Context()))
}

func (i *Instance) serveServices(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	services := []contract.Service{}
	for _, s := range i.feed.State().Catalog.Services() {
		services = append(services, *s)
	}
	writeJSON(w, http.StatusOK, services)
}

func (i *Instance) serveService(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	service, ok := i.serviceFromPath(w, params)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, service)
}

func (i *Instance) serveBackends(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	service, ok := i.serviceFromPath(w, params)
	if !ok {
		return
	}
	views := make([]operator.Backend, 0, len(service.Backends))
	for _, b := range service.Backends {
		report := i.loadReport(b.ID)
		views = append(views, operator.Backend{
			ID: b.ID, Kind: string(b.Kind), Addr: b.Addr, Zone: b.Zone.String(),
			Ready: i.health.Ready(b.ID), Version: report.Version,
			Running: report.Running, Queued: report.Queued, TokensPerS: report.TokensPerS,
		})
	}
	writeJSON(w, http.StatusOK, views)
}

func (i *Instance) serveNoteCheck(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	note, done, ok := i.readNote(w, r)
	defer done()
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, note)
}

func (i *Instance) servePublish(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	note, done, ok := i.readNote(w, r)
	defer done()
	if !ok {
		return
	}
	verdict, err := i.feed.PublishNote(r.Context(), note)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, operator.ErrorDetail{
			Code:    string(platform.CodeOf(err)),
			Message: fmt.Sprintf("the note may not have been published; publish it again with the same id: %v", err),
		})
		return
	}
	if !verdict.Accepted {
		writeError(w, http.StatusConflict, operator.ErrorDetail{
			Code: string(verdict.Code), Message: verdict.Message, Verdict: &verdict,
		})
		return
	}
	i.log.Info("note accepted", "note", note.ID, "author", note.Author, "revision", verdict.Revision)
	writeJSON(w, http.StatusOK, verdict)
}

func (i *Instance) serveNotes(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	records := []operator.NoteRecord{}
	for id, verdict := range i.feed.State().Catalog.Verdicts() {
		records = append(records, operator.NoteRecord{ID: id, Verdict: verdict})
	}
	sort.Slice(records, func(a, b int) bool { return records[a].ID < records[b].ID })
	writeJSON(w, http.StatusOK, records)
}

func (i *Instance) serveNote(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	id, verdict, ok := i.verdictFromPath(w, params)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, operator.NoteRecord{ID: id, Verdict: verdict})
}

func (i *Instance) serveInForce(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id, verdict, ok := i.verdictFromPath(w, params)
	if !ok {
		return
	}
	answer := operator.InForce{ID: id, Verdict: verdict, Everywhere: verdict.Accepted}
	for _, status := range i.allStatuses(r.Context()) {
		inForce := verdict.Accepted && status.Unreachable == "" && status.CatalogRevision >= verdict.Revision
		answer.Everywhere = answer.Everywhere && inForce
		answer.Instances = append(answer.Instances, operator.InForceAt{
			ID: status.ID, InForce: inForce, CatalogRevision: status.CatalogRevision, Unreachable: status.Unreachable,
		})
	}
	writeJSON(w, http.StatusOK, answer)
}

func (i *Instance) serveDrain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	i.requestStop()
	writeJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
}

// readNote reads and validates the release note in the request body. If that fails, it writes the
// error response and returns false. done, which must always be called, returns the memory of the body.
func (i *Instance) readNote(w http.ResponseWriter, r *http.Request) (note *release.Note, done func(), ok bool) {
	data, done, err := httpguard.ReadBody(i.clientMemory, w, r, intake.Body{Limit: maxNoteBytes, Factor: noteFactor})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrFull):
		w.Header().Set("Retry-After", strconv.Itoa(int(flood.DefaultStallTime.Seconds())))
		httpguard.RefuseBody(w, r, func() {
			writeError(w, http.StatusServiceUnavailable, operator.ErrorDetail{Code: "busy", Message: err.Error()})
		})
		return nil, done, false
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, operator.ErrorDetail{
			Code: "body_too_large", Message: fmt.Sprintf("a note may have at most %d bytes", maxNoteBytes),
		})
		return nil, done, false
	case err != nil:
		writeError(w, http.StatusBadRequest, operator.ErrorDetail{Code: "body_incomplete", Message: err.Error()})
		return nil, done, false
	}
	note, err = release.ParseNote("note", data)
	var mistakes *jsonc.Errors
	switch {
	case err == nil:
		return note, done, true
	case errors.As(err, &mistakes):
		writeError(w, http.StatusUnprocessableEntity, operator.ErrorDetail{
			Code: "invalid_note", Message: err.Error(), Fields: mistakes.Mistakes,
		})
	default:
		writeError(w, http.StatusUnprocessableEntity, operator.ErrorDetail{Code: "invalid_note", Message: err.Error()})
	}
	return nil, done, false
}

// serviceFromPath returns the service that the path names. If the catalog does not have it,
// serviceFromPath writes the error response and returns false.
func (i *Instance) serviceFromPath(w http.ResponseWriter, params httprouter.Params) (*contract.Service, bool) {
	name := params.ByName("service")
	service, ok := i.feed.State().Catalog.Service(name)
	if !ok {
		writeError(w, http.StatusNotFound, operator.ErrorDetail{
			Code: "unknown_service", Message: fmt.Sprintf("service %q is not in the catalog in force", name),
		})
	}
	return service, ok
}

// verdictFromPath returns the id of the note that the path names and the note's verdict. If the
// catalog does not keep the verdict, verdictFromPath writes the error response and returns false.
func (i *Instance) verdictFromPath(w http.ResponseWriter, params httprouter.Params) (string, release.Verdict, bool) {
	id := params.ByName("id")
	verdict, ok := i.feed.State().Catalog.Verdict(id)
	if !ok {
		writeError(w, http.StatusNotFound, operator.ErrorDetail{
			Code: "unknown_note", Message: fmt.Sprintf("no recent note has the id %q", id),
		})
	}
	return id, verdict, ok
}

func writeError(w http.ResponseWriter, status int, detail operator.ErrorDetail) {
	writeJSON(w, status, operator.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected, so the error is ignored.
	_, _ = w.Write(append(data, '\n'))
}
