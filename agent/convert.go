package agent

import (
	"net/http"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// toRequest converts a request head, whose deadline is relative to now.
func toRequest(h *peerpb.RequestHead, now time.Time) core.Request {
	return core.Request{
		ID:             h.RequestId,
		Organisation:   h.Organisation,
		Service:        h.Service,
		Model:          h.Model,
		Adapter:        h.Adapter,
		Repeatable:     h.Repeatable,
		Exclusive:      h.Exclusive,
		IdempotencyKey: h.IdempotencyKey,
		Fingerprint:    h.Fingerprint,
		PrefixHash:     h.PrefixHash,
		PromptTokens:   h.PromptTokens,
		OutputTokens:   h.OutputTokens,
		Priority:       int(h.Priority),
		Weight:         int(h.Weight),
		Arrived:        now,
		Deadline:       now.Add(time.Duration(h.DeadlineInMs) * time.Millisecond),
	}
}

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func hopByHop(name string) bool {
	return slices.Contains(hopByHopHeaders, http.CanonicalHeaderKey(name))
}

func toHeaders(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		if !hopByHop(name) {
			out = append(out, &peerpb.Header{Name: name, Values: values})
		}
	}
	return out
}

func loadFrame(l *peerpb.Load) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Load{Load: l}}
}
