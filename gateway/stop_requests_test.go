package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against a planned stop that accepts a stream which it must abort: after the time in
// which callers cannot know of the stop, only what ends within the grace period is accepted.
func TestPlannedStopRefusesWhatCannotEnd(t *testing.T) {
	t.Parallel()
	const (
		grace    = 4 * time.Second
		events   = 40
		interval = 60 * time.Millisecond
		// sentAfter is later than callers need to learn of the stop.
		sentAfter = 2 * time.Second
	)
	cases := []struct {
		name string
		// slow sends the body in two parts, the first of them at the start of the stop.
		slow     bool
		path     string
		deadline string
		want     int
	}{
		{"stream that may last longer than the grace", false, "/draft/1", "3000", http.StatusServiceUnavailable},
		{"the same, begun early and sent slowly", true, "/draft/1", "6000", http.StatusServiceUnavailable},
		{"request that ends in time", false, "/lookup/1", "500", http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.reloadable.Grace = grace
			d.routes[2]["timeout_ms"] = 6000
			d.publish()
			engine := d.addRunner(runner.Config{ID: "m1", Events: events, EventInterval: interval}, "model")
			d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
			p := d.startReady()
			p.stop()
			stopped := time.Now()
			r := newRequest(p, http.MethodPost, tc.path, "key-a", "write")
			r.Header.Set("Nutmegnotch-Deadline-Ms", tc.deadline)
			if tc.slow {
				body, w := io.Pipe()
				r.Body, r.ContentLength, r.GetBody = body, 2, nil
				go func() {
					fmt.Fprint(w, "a")
					time.Sleep(time.Until(stopped.Add(sentAfter)))
					fmt.Fprint(w, "b")
					w.Close()
				}()
			} else {
				time.Sleep(time.Until(stopped.Add(sentAfter)))
			}
			got := send(r)
			if got.status != tc.want || got.err != nil {
				t.Errorf("answer: got %d %q (%v), want %d", got.status, got.body, got.err, tc.want)
			}
			if tc.want == http.StatusServiceUnavailable && len(engine.Runs()) != 0 {
				t.Errorf("runs of the refused request: got %d, want 0", len(engine.Runs()))
			}
		})
	}
}

// Guards against a planned stop that closes the connections of requests which wait for a
// server instead of answering that they have not run.
func TestPlannedStopAnswersWhatWaits(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for _, r := range d.routes {
		r["timeout_ms"] = 20000
	}
	d.publish()
	server := d.addRunner(runner.Config{ID: "d1", Body: "ok", ProcessingTime: 4 * time.Second}, "desk")
	p := d.startReady()
	const sent = 10
	answers := make(chan answer, sent)
	for range sent {
		go func() {
			r := newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")
			r.Header.Set("Nutmegnotch-Deadline-Ms", "20000")
			answers <- send(r)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	p.stop()
	refused := 0
	for range sent {
		if a := <-answers; a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if got, want := refused, sent-len(server.Runs()); got != want || want == 0 {
		t.Errorf("waiting requests that were refused: got %d, want %d and more than 0", got, want)
	}
}
