package entry

import "expvar"

// metrics holds the counters and gauges of an entry.
type metrics struct {
	all                                                *expvar.Map
	requests, replies, repliesUnverified, refusals     *expvar.Int
	repliesCut, retries, crashReports, blockedRefusals *expvar.Int
	protocolErrors, wrongRequestIDs                    *expvar.Int
	replyBytesReserved, replyBytesBuffered             *expvar.Int
	replyWindows, callersGone, ignoredControlFrames    *expvar.Int
	refusalCodes                                       *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), refusalCodes: new(expvar.Map).Init()}
	for name, v := range map[string]**expvar.Int{
		"requests_total":               &m.requests,
		"replies_total":                &m.replies,
		"refusals_total":               &m.refusals,
		"replies_unverified_total":     &m.repliesUnverified,
		"replies_cut_total":            &m.repliesCut,
		"retries_total":                &m.retries,
		"crash_reports_total":          &m.crashReports,
		"convicted_refusals_total":     &m.blockedRefusals,
		"protocol_errors_total":        &m.protocolErrors,
		"wrong_request_ids_total":      &m.wrongRequestIDs,
		"reply_bytes_reserved":         &m.replyBytesReserved,
		"reply_bytes_buffered":         &m.replyBytesBuffered,
		"reply_windows_total":          &m.replyWindows,
		"callers_gone_total":           &m.callersGone,
		"ignored_control_frames_total": &m.ignoredControlFrames,
	} {
		*v = new(expvar.Int)
		m.all.Set(name, *v)
	}
	m.all.Set("refusals_by_code", m.refusalCodes)
	return m
}
