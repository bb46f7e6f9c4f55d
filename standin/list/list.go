// Package list is a stand-in for the platform's instance list. Changes become visible to
// readers after a lag.
package list

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// DefaultLag is the default of Options.Lag.
const DefaultLag = 2 * time.Second

// Options configures the list.
type Options struct {
	Addr string
	// Lag is the time after which a change becomes visible. A negative Lag means immediately.
	Lag time.Duration
}

// Server is the server of the instance list.
type Server struct {
	*serve.Server
	opts Options

	mu      sync.Mutex
	visible map[string]platform.Listed
	pending []change // in order of visibleAt
	frozen  bool
}

// change is a change of one entry that becomes visible at visibleAt.
type change struct {
	visibleAt time.Time
	entry     platform.Listed
	remove    bool
}

// Start starts an empty instance list.
func Start(opts Options) (*Server, error) {
	if opts.Lag == 0 {
		opts.Lag = DefaultLag
	}
	s := &Server{opts: opts, visible: map[string]platform.Listed{}}
	r := httprouter.New()
	r.GET("/v1/instances", s.handleList)
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// handleList sends the visible entries with an ETag, or 304 Not Modified if the client has them already.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	visible := s.Visible()
	data, err := json.Marshal(visible)
	if err != nil {
		serve.Abort()
	}
	etag := `"` + standin.BodyHash(data) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	serve.JSON(w, http.StatusOK, visible)
}

// Set adds or replaces an entry. The change becomes visible after the lag.
func (s *Server) Set(entry platform.Listed) { s.addPending(change{entry: entry}) }

// Remove removes an entry. The change becomes visible after the lag.
func (s *Server) Remove(id string) {
	s.addPending(change{entry: platform.Listed{ID: id}, remove: true})
}

// SetNow adds or replaces an entry without a lag, for the initial entries of a deployment.
func (s *Server) SetNow(entry platform.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.visible[entry.ID] = entry
}

// Freeze stops pending changes from becoming visible while on is true. After Freeze(false),
// those whose lag has passed become visible.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.applyDue()
	}
	s.frozen = on
}

func (s *Server) addPending(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visibleAt = time.Now().Add(s.opts.Lag)
	s.pending = append(s.pending, c)
}

// Visible returns the entries that a reader sees now, sorted by id.
func (s *Server) Visible() []platform.Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.applyDue()
	}
	out := make([]platform.Listed, 0, len(s.visible))
	for _, e := range s.visible {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// applyDue applies the pending changes whose lag has passed. The caller holds mu.
func (s *Server) applyDue() {
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.remove {
			delete(s.visible, c.entry.ID)
		} else {
			s.visible[c.entry.ID] = c.entry
		}
	}
}
