// Package eventstream finds the events of streams of server-sent events.
package eventstream

import (
	"bytes"
	"mime"
	"strconv"
)

// IsContentType reports whether a reply with a Content-Type header is a stream of
// server-sent events.
func IsContentType(header string) bool {
	mediaType, _, err := mime.ParseMediaType(header)
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

// EventEnd returns the length of the first complete event in b, which ends with an
// empty line, or -1 if there is none.
func EventEnd(b []byte) int {
	for used := 0; used < len(b); {
		text, all := nextLine(b[used:])
		used += all
		if text == 0 {
			return used
		}
	}
	return -1
}

// EndsInside reports whether a stream that ends with rest, the bytes after its last
// complete event, ends inside an event. Comments belong to no event.
func EndsInside(rest []byte) bool { return HasFields(rest) }

// HasFields reports whether an event, or a part of one, has more than comments.
func HasFields(event []byte) bool {
	for len(event) > 0 {
		text, all := nextLine(event)
		if text > 0 && event[0] != ':' {
			return true
		}
		event = event[all:]
	}
	return false
}

// Position tracks whether a stream that is read in pieces is inside an event. The zero
// value is its beginning.
type Position struct {
	// inLine is set after the first byte of a line, and inEvent once the event has a line
	// that is not a comment. afterCR is set after a CR, which an LF may follow as a part
	// of the same end of line.
	inLine, inEvent, afterCR bool
}

// Read returns the position after further bytes of the stream.
func (p Position) Read(b []byte) Position {
	for _, c := range b {
		switch {
		case c == '\n' && p.afterCR:
			p.afterCR = false
		case c == '\n' || c == '\r':
			p.inEvent = p.inEvent && p.inLine
			p.inLine, p.afterCR = false, c == '\r'
		case !p.inLine:
			p.inLine, p.afterCR = true, false
			p.inEvent = p.inEvent || c != ':'
		}
	}
	return p
}

// InsideEvent reports whether a stream that ends here ends inside an event.
func (p Position) InsideEvent() bool { return p.inEvent }

// EventID returns the value of the id field of an event.
func EventID(event []byte) (string, bool) { return field(event, "id:") }

// IsError reports whether an event is of the type error.
func IsError(event []byte) bool {
	v, ok := field(event, "event:")
	return ok && v == "error"
}

// field returns the value of the first field of an event with a name, which ends with a
// colon.
func field(event []byte, name string) (string, bool) {
	for len(event) > 0 {
		text, all := nextLine(event)
		if v, ok := bytes.CutPrefix(event[:text], []byte(name)); ok {
			return string(bytes.TrimSpace(v)), true
		}
		event = event[all:]
	}
	return "", false
}

// IsNewerID reports whether an event id follows the last one. Numeric ids increase;
// other ids only have to differ.
func IsNewerID(id, last string) bool {
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
