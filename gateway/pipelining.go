package gateway

import (
	"net/http"

	"nutmegnotch/io/caller"
)

// headScan finds the end of a request's head in the bytes of its connection.
type headScan struct {
	bytes     int64
	afterLine bool
	done      bool
}

func (s *headScan) add(b []byte) {
	for _, x := range b {
		if s.done {
			return
		}
		s.bytes++
		switch x {
		case '\n':
			s.done, s.afterLine = s.afterLine, true
		case '\r':
		default:
			s.afterLine = false
		}
	}
}

// sawNextRequest records whether bytes of another request have come behind the one that is
// being handled, besides those that nobody has read. It is not known for a body in chunks.
func (c *callerConn) sawNextRequest(r *http.Request, unread int) bool {
	if !c.pipelined && c.head.done && r.ContentLength >= 0 {
		c.pipelined = c.readBytes.Load()-c.answeredBytes.Load()+int64(unread) > c.head.bytes+r.ContentLength
	}
	return c.pipelined
}

// keepForNext keeps the connection of a reply in a planned stop if the caller has sent
// another request behind this one. Its connection would else end without an answer to that.
func (c *call) keepForNext() {
	conn, ok := caller.Conn(c.r).(*callerConn)
	if !ok || c.closeDelimited {
		return
	}
	unread, closes := 0, c.w.Header().Get("Connection") != ""
	if closes {
		var err error
		if unread, err = caller.UnreadBytes(conn.TCPConn); err != nil {
			return
		}
	}
	if conn.sawNextRequest(c.r, unread) {
		c.w.Header().Del("Connection")
	}
}
