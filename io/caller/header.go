package caller

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// droppedRequestHeaders are not forwarded to the backend server: the caller key,
// cookies, headers that this process sets itself, and unverified statements about
// the caller's address.
var droppedRequestHeaders = []string{
	"Authorization", "Content-Length", "Cookie", "Expect", "Forwarded", "Host",
	"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Priority", "X-Real-Ip", RequestIDHeader,
}

// droppedReplyHeaders are not forwarded to the caller. Without Content-Length the
// reply is chunked, so the caller sees it as complete only after the agent has
// sent ReplyEnd.
var droppedReplyHeaders = []string{"Content-Length", RequestIDHeader}

func requestHeader(h http.Header) http.Header { return filter(h, droppedRequestHeaders) }

func replyHeader(h http.Header) http.Header { return filter(h, droppedReplyHeaders) }

// filter returns a copy of h without hop-by-hop headers, without the headers
// that Connection names, and without the dropped ones.
func filter(h http.Header, dropped []string) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range dropped {
		out.Del(name)
	}
	return out
}
