package agent_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/desk"
	"nutmegnotch/io/peer/peerpb"
)

// rawReply is a backend server whose replies are what it says, after which it closes
// the connection.
type rawReply string

func (b rawReply) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, string(b))
}

func lookupHead(id string) *peerpb.RequestHead {
	h := bookingHead(id, "")
	h.Method, h.Path, h.Repeatable = http.MethodGet, "/bookings/b-1", true
	return h
}

// Guards against replies that may have been cut short, or were, and are passed on as
// complete ones.
func TestEndOfReplyIsPassedOn(t *testing.T) {
	const events = "id: 1\ndata: x\n\n"
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunked := func(s string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", stream, len(s), s)
	}
	tests := []struct {
		name, reply              string
		complete, closeDelimited bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", true, true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", true, true},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
		{"events in chunks", chunked(events), true, false},
		{"events in chunks, ended inside one", chunked(events + "id: 2\n"), false, false},
		{"events", stream + "\r\n" + events, true, true},
		{"events, ended inside one", stream + "\r\n" + events + "id: 2\n", false, true},
	}
	for _, tt := range tests {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, once %t", tt.name, once), func(t *testing.T) {
				r := startHarness(t, deskService, rawReply(tt.reply), nil)
				head := lookupHead("q")
				if once {
					head = bookingHead("q", "k")
				}
				got := r.do(head, "")
				if got.end.GetComplete() != tt.complete {
					t.Fatalf("reply: got %+v, want complete %t", got, tt.complete)
				}
				if got.head.GetCloseDelimited() != tt.closeDelimited && (tt.complete || !once) {
					t.Errorf("head: got %+v, want close-delimited %t", got.head, tt.closeDelimited)
				}
				if !once {
					return
				}
				holder := r.do(bookingHead("q2", "k"), "").verdict.GetHolder()
				stored := r.lookup(holder.GetClaimId(), "inc-1")
				if (stored.State == peerpb.LookupResult_STATE_STORED) != tt.complete || stored.CloseDelimited != (tt.complete && tt.closeDelimited) {
					t.Errorf("stored reply: got %+v, want it stored %t, close-delimited %t", stored, tt.complete, tt.closeDelimited)
				}
			})
		}
	}
}

// Guards against a crash in a reply without a length that goes unnoticed, and against a
// later crash that is put down to a reply after which the server was alive.
func TestServerThatEndsInReplyWithoutLength(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprintf("ends %t", ends), func(t *testing.T) {
			var r *harness
			r = startHarness(t, deskService, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if ends {
					r.server.Listener.Close()
				}
				rawReply("HTTP/1.1 200 OK\r\n\r\no").ServeHTTP(w, req)
			}), nil)
			got := r.do(lookupHead("q"), "")
			if !got.end.GetComplete() || got.end.GetCrashed() != ends {
				t.Fatalf("end of the reply: got %+v, want crashed %t", got.end, ends)
			}
			if ends {
				f := r.waitControlFrame("crash report", func(f *peerpb.Frame) bool { return f.GetCrashReport() != nil })
				if got := f.GetCrashReport().GetFingerprints(); len(got) != 1 || got[0] != 9 {
					t.Errorf("crash report: got fingerprints %v, want 9", got)
				}
				return
			}
			r.server.Listener.Close()
			r.waitFor("the server is down", func() bool { return !r.agent.Ready() })
			for end := time.After(200 * time.Millisecond); ; {
				select {
				case f := <-r.control:
					if f.GetCrashReport() != nil {
						t.Errorf("crash report of a server that ended later: got %v, want none", f.GetCrashReport())
					}
					continue
				case <-end:
				}
				break
			}
		})
	}
}

// Guards against a half reply to a booking that is stored as a whole one.
func TestHalfBookingIsNotStoredAsWhole(t *testing.T) {
	d := newDesk(t)
	r := startHarness(t, deskService, d, nil)
	d.Inject(desk.Faults{CloseDelimited: true, Cut: true})
	got := r.do(bookingHead("q1", "k"), "{}")
	if !got.head.GetCloseDelimited() || strings.HasSuffix(got.body, "}") {
		t.Fatalf("reply: got %+v, want a half one that is marked", got)
	}
	holder := r.do(bookingHead("q2", "k"), "{}").verdict.GetHolder()
	if stored := r.lookup(holder.GetClaimId(), "inc-1"); !stored.CloseDelimited || string(stored.Body) != got.body {
		t.Errorf("stored reply: got %+v, want the half one, marked", stored)
	}
	if n := bookingRuns(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}
