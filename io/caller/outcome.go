package caller

import (
	"net/http"
	"strings"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// Subject returns what the request counts for in reports.
func (r *Request) Subject() report.Subject {
	return report.SubjectOf(r.Contract, r.ContractVersion, r.Service)
}

func subject(id identity, service string) report.Subject {
	return report.SubjectOf(id.contract, id.version(), service)
}

// version returns the version of the contract.
func (id identity) version() int64 {
	return id.config.Versions[core.ObjectName(core.KindContract, id.contract.Organisation)]
}

// ended reports the final outcome of a request.
func (f *Frontend) ended(w *Reply, s report.Subject) {
	if f.cfg.OnOutcome == nil {
		return
	}
	o := report.Outcome{Subject: s, Code: w.code, Elapsed: time.Since(w.started), ReplyBytes: w.written}
	if !w.first.IsZero() {
		o.TimeToFirstByte = w.first.Sub(w.started)
	}
	switch {
	case w.gone:
		o.Ending = report.EndedCallerGone
	case w.aborted:
		o.Ending = report.EndedCut
	case w.refused != nil:
		o.Ending, o.NotRun, o.OutcomeUnknown = report.EndedRefused, w.refused.NotRun, w.refused.OutcomeUnknown
	}
	f.cfg.OnOutcome(o)
}

// unidentified reports a request that was refused before its caller was
// identified, if its caller key is known. A request that was refused for want
// of a confirmed configuration counts under the last known contract.
func (f *Frontend) unidentified(w *Reply, r *http.Request) {
	if f.cfg.OnOutcome == nil {
		return
	}
	if id, refusal := f.callerOf(r); refusal == nil {
		f.ended(w, subject(id, ""))
	}
}

// callerOf returns the organisation of the caller key under the present
// configuration, whether it is confirmed or not.
func (f *Frontend) callerOf(r *http.Request) (identity, *core.Refusal) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return identity{}, refuse(core.CodeUnauthorized, "a bearer caller key is required")
	}
	cfg := f.cfg.Source.Current()
	organisation, ok := cfg.KeyOrganisations[KeyHash(strings.TrimSpace(key))]
	if !ok {
		return identity{}, refuse(core.CodeUnauthorized, "the caller key is not known")
	}
	contract, ok := cfg.Contracts[organisation]
	if !ok {
		return identity{}, refuse(core.CodeUnauthorized, "the organisation has no contract")
	}
	return identity{config: cfg, contract: contract}, nil
}
