package runner

import (
	"io"
	"net"
	"strconv"
	"strings"
)

// writeReply writes a reply to the request with an id. It is sealed with serverID unless
// that is empty. extraHeaders holds complete header lines.
func writeReply(c net.Conn, status, id, serverID, extraHeaders, body string) {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	if id != "" {
		b.WriteString(headerRequestID + ": " + id + "\r\n")
	}
	if serverID != "" {
		b.WriteString(headerSeal + ": seal." + serverID + "\r\n")
	}
	b.WriteString(extraHeaders)
	b.WriteString("Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_, _ = io.WriteString(c, b.String())
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
