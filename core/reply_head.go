package core

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches the status line of a reply, with its code.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9](?: |$)`)

// statusCode matches a status with a valid code (RFC 9110, section 15).
var statusCode = regexp.MustCompile(`^[1-5][0-9][0-9](?: |$)`)

// CheckReplyHead returns an error if the status (code and reason) of a reply has no valid
// code, or if it or a header holds the status line of another one. A server that stops
// inside a line of a head and then sends another reply on the connection makes one head of
// both, with the status of the first and the rest of the second.
func CheckReplyHead(status string, h http.Header) error {
	if !statusCode.MatchString(status) {
		return fmt.Errorf("status %q has no valid code: %w", status, ErrInvalid)
	}
	if holdsStatusLine(status) {
		return fmt.Errorf("status %q holds a second status line: %w", status, ErrInvalid)
	}
	for name, values := range h {
		for _, v := range values {
			if holdsStatusLine(v) {
				return fmt.Errorf("header %s holds a second status line: %w", name, ErrInvalid)
			}
		}
	}
	return nil
}

func holdsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}
