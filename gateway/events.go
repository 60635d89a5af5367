package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
)

// isEventStream reports whether a reply is a stream of server-sent events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// nextLine returns the length of the first line of b without and with its end, which
// is LF, CRLF or CR. If b has no end of a line, both are len(b).
func nextLine(b []byte) (text, all int) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0:
		return len(b), len(b)
	case b[i] == '\r' && i+1 < len(b) && b[i+1] == '\n':
		return i, i + 2
	}
	return i, i + 1
}

// eventEnd returns the length of the first complete event in b, which ends with an
// empty line, or -1 if there is none.
func eventEnd(b []byte) int {
	for used := 0; used < len(b); {
		text, all := nextLine(b[used:])
		used += all
		if text == 0 {
			return used
		}
	}
	return -1
}

// insideEvent reports whether a stream that ends with rest, the bytes after its last
// complete event, ends inside an event. Comments belong to no event.
func insideEvent(rest []byte) bool {
	for len(rest) > 0 {
		text, all := nextLine(rest)
		if text > 0 && rest[0] != ':' {
			return true
		}
		rest = rest[all:]
	}
	return false
}

// eventID returns the value of the id field of an event.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		text, all := nextLine(event)
		if v, ok := bytes.CutPrefix(event[:text], []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
		event = event[all:]
	}
	return "", false
}

// isNewerID reports whether an event id follows the last one. Numeric ids increase;
// other ids only have to differ.
func isNewerID(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
