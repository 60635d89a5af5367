package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	"nutmegnotch/entry"
	"nutmegnotch/io/peer/peerpb"
)

// suspicious is a quarantine in which all requests are suspects until one completes.
type suspicious struct {
	mu        sync.Mutex
	completed int
}

func (q *suspicious) Crashed(string, []uint64, time.Time) {}

func (q *suspicious) Completed(uint64, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completed++
}

func (q *suspicious) Status(uint64, time.Time) core.QuarantineStatus { return core.QuarantineSuspect }

// endings is a reporter that keeps the endings of requests.
type endings struct {
	mu   sync.Mutex
	list []report.Ending
}

func (e *endings) Admitted(report.Admission) {}

func (e *endings) Ended(o report.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, o.Ending)
}

// Guards against a reply that may have been cut short, at the agent or in its store,
// and reaches the caller framed as complete, counts as whole or clears a suspect.
func TestReplyWithoutLength(t *testing.T) {
	cases := []struct {
		name           string
		stored         bool
		closeDelimited bool
		ending         report.Ending
		completed      int
	}{
		{"marked", false, false, report.EndedWhole, 1},
		{"not marked", false, true, report.EndedUnverified, 0},
		{"stored, marked", true, false, report.EndedWhole, 0},
		{"stored, not marked", true, true, report.EndedUnverified, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			quarantine, ended := &suspicious{}, &endings{}
			a := newFakeAgent("a1", "text", "d1", func(s requestStream) {
				s.readBody()
				s.verdict(&peerpb.Verdict{Admitted: true})
				_ = s.s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: &peerpb.ReplyHead{
					RequestId: s.head.RequestId, Status: 200, CloseDelimited: c.closeDelimited}}})
				s.chunk(s.head.RequestId, []byte("hello"))
				s.end(&peerpb.ReplyEnd{RequestId: s.head.RequestId, Complete: true, TotalBytes: 5})
			})
			key := ""
			if c.stored {
				key = "k"
				a = newFakeAgent("a1", "desk", "d1", func(s requestStream) {
					s.readBody()
					s.verdict(&peerpb.Verdict{Code: string(core.CodeStillRunning), Holder: &peerpb.Holder{
						ClaimId: "c", AgentId: "a1", AgentIncarnation: "1", RequestHash: s.head.RequestHash}})
				})
				a.found.Store(&peerpb.LookupResult{State: peerpb.LookupResult_STATE_STORED, Status: 200, Body: []byte("hello"),
					CloseDelimited: c.closeDelimited})
			}
			g := newHarness(t, func(cfg *entry.Config) { cfg.Quarantine, cfg.Reports = quarantine, ended }, a)
			resp, err := http.DefaultClient.Do(g.request("k1", key))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != "hello" {
				t.Errorf("reply: got %q (%v), want it whole", body, err)
			}
			if framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0; framed == c.closeDelimited {
				t.Errorf("reply: got length %d and encoding %q, want framed %t", resp.ContentLength, resp.TransferEncoding, !c.closeDelimited)
			}
			waitFor(t, "the request is reported", func() bool {
				ended.mu.Lock()
				defer ended.mu.Unlock()
				return len(ended.list) == 1
			})
			if got := ended.list[0]; got != c.ending {
				t.Errorf("ending: got %v, want %v", got, c.ending)
			}
			quarantine.mu.Lock()
			defer quarantine.mu.Unlock()
			if quarantine.completed != c.completed {
				t.Errorf("completions of the suspect: got %d, want %d", quarantine.completed, c.completed)
			}
		})
	}
}

// Guards against a reply that the agent breaks off and that looks whole to its caller,
// since the connection is closed.
func TestBrokenReplyWithoutLengthIsReset(t *testing.T) {
	a := newFakeAgent("a1", "text", "d1", func(s requestStream) {
		s.readBody()
		s.verdict(&peerpb.Verdict{Admitted: true})
		_ = s.s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: &peerpb.ReplyHead{
			RequestId: s.head.RequestId, Status: 200, CloseDelimited: true}}})
		s.chunk(s.head.RequestId, []byte("hel"))
		time.Sleep(100 * time.Millisecond)
		s.end(&peerpb.ReplyEnd{RequestId: s.head.RequestId, Code: string(core.CodeBackendFailed)})
	})
	g := newHarness(t, nil, a)
	resp, err := http.DefaultClient.Do(g.request("k1", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("broken reply: got %q and no error, want a reset", fmt.Sprint(string(body)))
	}
}
