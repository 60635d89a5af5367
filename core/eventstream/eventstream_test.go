package eventstream_test

import (
	"strings"
	"testing"

	"nutmegnotch/core/eventstream"
)

// Guards against events that are not found, or found too early, whatever the ends of
// their lines.
func TestEventEnd(t *testing.T) {
	cases := []struct {
		name, in, want string
	}{
		{"LF", "id: 1\ndata: x\n\nid: 2", "id: 1\ndata: x\n\n"},
		{"CRLF", "id: 1\r\ndata: x\r\n\r\nid: 2", "id: 1\r\ndata: x\r\n\r\n"},
		{"CR", "id: 1\rdata: x\r\rid: 2", "id: 1\rdata: x\r\r"},
		{"mixed", "id: 1\r\ndata: x\n\r\nid: 2", "id: 1\r\ndata: x\n\r\n"},
		{"comment", ": wait\n\nid: 2", ": wait\n\n"},
		{"no empty line", "id: 1\ndata: x\n", ""},
		{"half a line", "id: 1\nda", ""},
		{"CRLF cut in two", "id: 1\r\ndata: x\r", ""},
	}
	for _, c := range cases {
		got := ""
		if n := eventstream.EventEnd([]byte(c.in)); n >= 0 {
			got = c.in[:n]
		}
		if got != c.want {
			t.Errorf("%s: got event %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a broken stream that is taken for a whole one, and the reverse.
func TestEndsInsideEvent(t *testing.T) {
	cases := []struct {
		rest string
		want bool
	}{
		{"", false},
		{"\n", false},
		{"\r\n", false},
		{": end\n", false},
		{": end", false},
		{": end\r\n:", false},
		{"i", true},
		{"id: 1", true},
		{"id: 1\ndata: x\n", true},
		{": wait\nid: 1\n", true},
		{"data\n", true},
	}
	for _, c := range cases {
		if got := eventstream.EndsInside([]byte(c.rest)); got != c.want {
			t.Errorf("rest %q: got inside an event %t, want %t", c.rest, got, c.want)
		}
		if got := (eventstream.Position{}).Read([]byte("id: 0\n\n" + c.rest)).InsideEvent(); got != c.want {
			t.Errorf("position after %q: got inside an event %t, want %t", c.rest, got, c.want)
		}
	}
}

// Guards against events whose id is missed, which would be sent twice.
func TestEventID(t *testing.T) {
	cases := []struct {
		event, want string
		ok          bool
	}{
		{"id: 7\ndata: x\n\n", "7", true},
		{"data: x\r\nid:8\r\n\r\n", "8", true},
		{"data: x\rid: 9\r\r", "9", true},
		{"data: id: 3\n\n", "", false},
	}
	for _, c := range cases {
		if got, ok := eventstream.EventID([]byte(c.event)); got != c.want || ok != c.ok {
			t.Errorf("event %q: got id %q, %t, want %q, %t", c.event, got, ok, c.want, c.ok)
		}
	}
}

// Guards against plain replies on the routes of streams that are read as events.
func TestContentType(t *testing.T) {
	cases := []struct {
		contentType string
		want        bool
	}{
		{"text/event-stream", true},
		{"Text/Event-Stream; charset=utf-8", true},
		{"application/json", false},
		{"", false},
	}
	for _, c := range cases {
		if got := eventstream.IsContentType(c.contentType); got != c.want {
			t.Errorf("content type %q: got stream %t, want %t", c.contentType, got, c.want)
		}
	}
}

// Guards against a stream whose bytes or whose end depend on the pieces in which it
// arrives.
func FuzzEventEnd(f *testing.F) {
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\r\r", 3)
	f.Fuzz(func(t *testing.T, in string, cut int) {
		if cut < 0 || cut > len(in) {
			return
		}
		read := func(parts ...string) (string, bool) {
			var out strings.Builder
			var buf []byte
			for _, p := range parts {
				buf = append(buf, p...)
				for n := eventstream.EventEnd(buf); n >= 0; n = eventstream.EventEnd(buf) {
					out.Write(buf[:n])
					buf = buf[n:]
				}
			}
			return out.String() + string(buf), eventstream.EndsInside(buf)
		}
		_, want := read(in)
		if got, inside := read(in[:cut], in[cut:]); got != in || inside != want {
			t.Errorf("in two pieces: got %q, inside an event %t, want %q, %t", got, inside, in, want)
		}
		p := (eventstream.Position{}).Read([]byte(in[:cut])).Read([]byte(in[cut:]))
		if got := p.InsideEvent(); got != want {
			t.Errorf("position in two pieces: got inside an event %t, want %t", got, want)
		}
	})
}
