package rank

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"nutmegnotch/core"
	iorank "nutmegnotch/io/rank"
)

// Handler returns a handler of the engine's protocol, of GET /history and of POST
// /faults.
func (r *Rank) Handler() http.Handler {
	m := httprouter.New()
	m.GET("/state", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		s, err := r.State(req.Context())
		writeResponse(w, s, err)
	})
	m.GET("/maps/:version", func(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
		version, err := strconv.ParseInt(p.ByName("version"), 10, 64)
		if err != nil {
			writeResponse(w, nil, fmt.Errorf("map version %q: %w", p.ByName("version"), core.ErrInvalid))
			return
		}
		found, err := r.Map(req.Context(), version)
		writeResponse(w, found, err)
	})
	m.GET("/experts", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		found, err := r.Experts(req.Context())
		writeResponse(w, found, err)
	})
	m.GET("/history", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeResponse(w, r.History(), nil)
	})
	m.POST("/fence", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var o iorank.FenceOrder
		if decode(w, req, &o) {
			writeResponse(w, nil, r.Fence(req.Context(), o.Fence))
		}
	})
	m.POST("/load", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var o iorank.LoadOrder
		if decode(w, req, &o) {
			writeResponse(w, nil, r.Load(req.Context(), o.Fence, o.Map))
		}
	})
	m.POST("/run", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var o core.Run
		if decode(w, req, &o) {
			writeResponse(w, nil, r.Run(req.Context(), o))
		}
	})
	m.POST("/stop", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var o iorank.StopOrder
		if decode(w, req, &o) {
			writeResponse(w, nil, r.Stop(req.Context(), o.Generation, o.Fence, o.Horizon))
		}
	})
	m.POST("/start", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var o iorank.StartOrder
		if decode(w, req, &o) {
			writeResponse(w, nil, r.Start(req.Context(), o.Generation, o.Fence, o.Step))
		}
	})
	m.POST("/faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f Faults
		if decode(w, req, &f) {
			r.Inject(f)
			writeResponse(w, nil, nil)
		}
	})
	return m
}

func decode(w http.ResponseWriter, req *http.Request, v any) bool {
	if err := json.NewDecoder(req.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, core.ErrStaleFence):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, core.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, core.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, core.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		if v == nil {
			v = struct{}{}
		}
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
}
