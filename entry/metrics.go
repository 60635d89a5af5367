package entry

import "expvar"

// metrics are the counters and gauges of an entry.
type metrics struct {
	all                               *expvar.Map
	requests, replies, refusals       *expvar.Int
	cut, retries, crashes, convicted  *expvar.Int
	protocolErrors, wrongRequestIDs   *expvar.Int
	replyBytesHeld, replyBytesBuffer  *expvar.Int
	windows, callersGone, staleFrames *expvar.Int
	refusalCodes                      *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), refusalCodes: new(expvar.Map).Init()}
	for name, v := range map[string]**expvar.Int{
		"requests_total":               &m.requests,
		"replies_total":                &m.replies,
		"refusals_total":               &m.refusals,
		"replies_cut_total":            &m.cut,
		"retries_total":                &m.retries,
		"crash_reports_total":          &m.crashes,
		"convicted_refusals_total":     &m.convicted,
		"protocol_errors_total":        &m.protocolErrors,
		"wrong_request_ids_total":      &m.wrongRequestIDs,
		"reply_bytes_reserved":         &m.replyBytesHeld,
		"reply_bytes_buffered":         &m.replyBytesBuffer,
		"reply_windows_total":          &m.windows,
		"callers_gone_total":           &m.callersGone,
		"ignored_control_frames_total": &m.staleFrames,
	} {
		*v = new(expvar.Int)
		m.all.Set(name, *v)
	}
	m.all.Set("refusals_by_code", m.refusalCodes)
	return m
}
