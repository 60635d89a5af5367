package platformlog

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Kinds of outage.
const (
	OutageHang   = "hang"
	OutageRefuse = "refuse"
)

// Faults are the faults that the service injects. It is the JSON body of POST /faults,
// which replaces all faults.
type Faults struct {
	// Outage delays all responses until the faults change ("hang"), or makes the
	// service respond 503 ("refuse").
	Outage string `json:"outage,omitempty"`
	// DelayMS delays each call before it takes effect.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAppendAnswers is the number of next appends whose connection is broken after
	// they have taken effect. It applies to LoseStream, or to all streams if that is
	// empty.
	LoseAppendAnswers int    `json:"lose_append_answers,omitempty"`
	LoseStream        string `json:"lose_stream,omitempty"`
	// ExpireBefore drops the records of ExpireStream below an offset, once. The default
	// of ExpireStream is "config".
	ExpireBefore int64  `json:"expire_before,omitempty"`
	ExpireStream string `json:"expire_stream,omitempty"`
	// LoseFrom drops the records of LostStream from an offset on, once, and gives out
	// their offsets again.
	LoseFrom   int64  `json:"lose_from,omitempty"`
	LostStream string `json:"lost_stream,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.do(func(st *store) {
		if f.ExpireBefore > 0 {
			name := f.ExpireStream
			if name == "" {
				name = "config"
			}
			st.stream(name).dropBefore(f.ExpireBefore)
		}
		if f.LostStream != "" {
			st.stream(f.LostStream).dropFrom(f.LoseFrom)
		}
		st.faults = f
		close(st.faultsChanged)
		st.faultsChanged = make(chan struct{})
	})
}

// applyFaults applies the delay and the outage to a call. It reports whether the call
// continues. A change of the faults ends a hang.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	for delayed := false; ; {
		var f Faults
		var faultsChanged <-chan struct{}
		if !s.do(func(st *store) { f, faultsChanged = st.faults, st.faultsChanged }) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case f.Outage == OutageRefuse:
			writeError(w, http.StatusServiceUnavailable, "log is out of service")
			return false
		case f.Outage == OutageHang:
			if !s.wait(r, faultsChanged, nil) {
				return false
			}
		case f.DelayMS > 0 && !delayed:
			if !s.wait(r, nil, time.After(time.Duration(f.DelayMS)*time.Millisecond)) {
				return false
			}
			delayed = true
		default:
			return true
		}
	}
}

// wait waits for a change of the faults or the timer. It reports false if the client
// disconnects first.
func (s *Server) wait(r *http.Request, faultsChanged <-chan struct{}, timer <-chan time.Time) bool {
	select {
	case <-faultsChanged:
		return true
	case <-timer:
		return true
	case <-r.Context().Done():
		return false
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.Outage != "" && f.Outage != OutageHang && f.Outage != OutageRefuse {
		writeError(w, http.StatusBadRequest, `outage must be "", "hang" or "refuse"`)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var f Faults
	s.do(func(st *store) { f = st.faults })
	writeJSON(w, http.StatusOK, f)
}
