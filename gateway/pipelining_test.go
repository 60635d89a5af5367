package gateway

import "testing"

// Guards against a head whose end is not found, or found in its middle, when it comes in parts.
func TestHeadScan(t *testing.T) {
	cases := []struct {
		name, text string
		want       int64
		done       bool
	}{
		{"whole", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27, true},
		{"with a body behind it", "GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\n\r\nbody", 27, true},
		{"bare newlines", "GET / HTTP/1.1\nHost: a\n\nrest", 24, true},
		{"half", "GET / HTTP/1.1\r\nHost", 20, false},
		{"last newline missing", "GET / HTTP/1.1\r\nHost: a\r\n\r", 26, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, part := range []int{1, 3, len(tc.text)} {
				var s headScan
				for rest := tc.text; rest != ""; {
					n := min(part, len(rest))
					s.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				if s.bytes != tc.want || s.done != tc.done {
					t.Errorf("in parts of %d bytes: got %d, %t, want %d, %t", part, s.bytes, s.done, tc.want, tc.done)
				}
			}
		})
	}
}
