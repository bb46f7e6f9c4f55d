// Package list is a stand-in of the platform's instance list. Changes become visible after
// a lag.
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

// DefaultLag is the time after which a change becomes visible.
const DefaultLag = 2 * time.Second

// Options configure the list.
type Options struct {
	Addr string
	// Lag is the time after which a change becomes visible; negative means at once.
	Lag time.Duration
}

// Server is the instance list.
type Server struct {
	*serve.Server
	opts Options

	mu      sync.Mutex
	visible map[string]platform.Listed
	pending []change
	frozen  bool
}

type change struct {
	at     time.Time
	entry  platform.Listed
	remove bool
}

// Start starts the list.
func Start(opts Options) (*Server, error) {
	if opts.Lag == 0 {
		opts.Lag = DefaultLag
	}
	s := &Server{opts: opts, visible: map[string]platform.Listed{}}
	r := httprouter.New()
	r.GET("/v1/instances", s.handle)
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// handle answers with an ETag, and with 304 Not Modified to whoever has the list already.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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

// Set adds or changes an entry; the change is visible after the lag.
func (s *Server) Set(entry platform.Listed) { s.add(change{entry: entry}) }

// Remove removes an entry; the change is visible after the lag.
func (s *Server) Remove(id string) {
	s.add(change{entry: platform.Listed{ID: id}, remove: true})
}

// SetNow adds or changes an entry visibly at once, as at the start of a deployment.
func (s *Server) SetNow(entry platform.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.visible[entry.ID] = entry
}

// Freeze keeps the list as it is until it is thawed; changes then appear at once.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.settle()
	}
	s.frozen = on
}

func (s *Server) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now().Add(s.opts.Lag)
	s.pending = append(s.pending, c)
}

// Visible returns what a reader sees now, sorted by id.
func (s *Server) Visible() []platform.Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.settle()
	}
	out := make([]platform.Listed, 0, len(s.visible))
	for _, e := range s.visible {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (s *Server) settle() {
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.remove {
			delete(s.visible, c.entry.ID)
		} else {
			s.visible[c.entry.ID] = c.entry
		}
	}
}
