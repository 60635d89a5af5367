package caller

import (
	"net/http"
	"strings"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// Subject returns the organisation, contract and service that the request counts
// for in reports.
func (r *Request) Subject() report.Subject {
	return report.SubjectOf(r.Contract, r.ContractVersion, r.Service)
}

func subjectOf(id identity, service string) report.Subject {
	return report.SubjectOf(id.contract, id.contractVersion(), service)
}

// contractVersion returns the contractVersion of the contract.
func (id identity) contractVersion() int64 {
	return id.config.Versions[core.ObjectName(core.KindContract, id.contract.Organisation)]
}

// reportOutcome calls OnOutcome with the final outcome of a request.
func (f *Frontend) reportOutcome(w *Reply, s report.Subject) {
	if f.cfg.OnOutcome == nil {
		return
	}
	o := report.Outcome{Subject: s, Code: w.code, Elapsed: time.Since(w.receivedAt), ReplyBytes: w.writtenBytes}
	if !w.firstByteAt.IsZero() {
		o.TimeToFirstByte = w.firstByteAt.Sub(w.receivedAt)
	}
	switch {
	case w.callerGone:
		o.Ending = report.EndedCallerGone
	case w.aborted:
		o.Ending = report.EndedCut
	case w.sentRefusal != nil:
		o.Ending, o.NotRun, o.OutcomeUnknown = report.EndedRefused, w.sentRefusal.NotRun, w.sentRefusal.OutcomeUnknown
	case w.unverified:
		o.Ending = report.EndedUnverified
	}
	f.cfg.OnOutcome(o)
}

// reportUnidentified reports a request that was refused before its caller was
// identified, if its caller key is known. A request that was refused because the
// configuration is not confirmed counts for the last known contract.
func (f *Frontend) reportUnidentified(w *Reply, r *http.Request) {
	if f.cfg.OnOutcome == nil {
		return
	}
	if id, refusal := f.identifyCaller(r); refusal == nil {
		f.reportOutcome(w, subjectOf(id, ""))
	}
}

// identifyCaller looks up the caller key in the current configuration, whether or
// not that is confirmed.
func (f *Frontend) identifyCaller(r *http.Request) (identity, *core.Refusal) {
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
