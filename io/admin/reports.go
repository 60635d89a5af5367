package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	"nutmegnotch/io/reportlog"
)

const (
	defaultReportWindow = time.Hour
	reportReadTimeout   = time.Minute
	// reportDelayIntervals is the number of report intervals after which every entry
	// has reported. The entries end their intervals at different times, spread over
	// one interval.
	reportDelayIntervals = 2
)

// reports answers with the merged report records of a time window.
func (s *Server) reports(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	window, err := s.reportWindow(r, time.Now())
	if err != nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), err.Error())
		return
	}
	organisation := r.URL.Query().Get("organisation")
	visible := func(name string) bool {
		return (organisation == "" || name == organisation) && id.covers(core.ObjectName(core.KindContract, name))
	}
	if organisation != "" && !visible(organisation) {
		writeForbidden(w, id, core.ObjectName(core.KindContract, organisation))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportReadTimeout)
	defer cancel()
	list, gaps, err := reportlog.Read(ctx, s.cfg.Log, window, visible)
	if err != nil {
		writeReportError(w, err)
		return
	}
	window.Gaps = gaps
	writeJSON(w, http.StatusOK, report.Merge(list, window, s.listedOrganisations(organisation, visible), visible))
}

func writeReportError(w http.ResponseWriter, err error) {
	if errors.Is(err, core.ErrInvalid) {
		writeError(w, http.StatusUnprocessableEntity, "invalid", err.Error())
		return
	}
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, string(core.CodeLogUnavailable), err.Error())
}

// listedOrganisations returns the organisations that the report lists even if they
// sent no request.
func (s *Server) listedOrganisations(organisation string, visible func(string) bool) []string {
	if organisation != "" {
		return []string{organisation}
	}
	var names []string
	for name := range s.cfg.Configuration.Current().Contracts {
		if visible(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reportWindow parses the query parameters from and to. A later end of the window
// is replaced by the time up to which every entry has reported.
func (s *Server) reportWindow(r *http.Request, now time.Time) (report.Window, error) {
	reportedUntil := now.Add(-reportDelayIntervals * s.cfg.ReportInterval)
	to, err1 := parseQueryTime(r, "to", reportedUntil)
	if to.After(reportedUntil) {
		to = reportedUntil
	}
	from, err2 := parseQueryTime(r, "from", to.Add(-defaultReportWindow))
	if err := errors.Join(err1, err2); err != nil {
		return report.Window{}, err
	}
	if !from.Before(to) {
		return report.Window{}, fmt.Errorf("from is %s, it must be before %s, up to which every entry has reported",
			from.Format(time.RFC3339Nano), to.Format(time.RFC3339Nano))
	}
	return report.Window{From: from, To: to}, nil
}

func parseQueryTime(r *http.Request, name string, defaultValue time.Time) (time.Time, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s is %q, it must be a time such as 2026-01-02T15:04:05Z", name, text)
	}
	return t, nil
}
