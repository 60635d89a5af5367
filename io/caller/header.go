package caller

import (
	"net/http"
	"strings"
)

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requestDeny lists request headers that a backend server does not get: the
// caller key, what this process sets itself, and claims about the caller's
// address that nobody checked.
var requestDeny = []string{
	"Authorization", "Content-Length", "Cookie", "Expect", "Forwarded", "Host",
	"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Priority", "X-Real-Ip", RequestIDHeader,
}

// replyDeny lists reply headers that a caller does not get. Without
// Content-Length the reply is chunked, so that only the end frame of the agent
// makes it complete for the caller.
var replyDeny = []string{"Content-Length", RequestIDHeader}

func requestHeader(h http.Header) http.Header { return filter(h, requestDeny) }

func replyHeader(h http.Header) http.Header { return filter(h, replyDeny) }

// filter returns a copy of h without hop-by-hop headers, without the headers
// that Connection names, and without the denied ones.
func filter(h http.Header, deny []string) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range deny {
		out.Del(name)
	}
	return out
}
