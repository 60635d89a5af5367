package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
	"nutmegnotch/gateway"
)

// A configuration that is changed while requests are in progress.
type progress struct {
	d        *deployment
	gateways []*process
	services []map[string]any
	// links are those of the gateways that learn of versions later.
	links []*isolation
}

const (
	// progressTime is how long the servers need for a request, with the events of a stream.
	progressTime, progressEvents = 800 * time.Millisecond, 16
	// learnLater is how much later an isolated gateway learns of a version.
	learnLater = 300 * time.Millisecond
)

func startProgress(t *testing.T, engine map[string]any, isolated bool) *progress {
	t.Helper()
	d := newDeployment(t)
	for _, r := range d.routes {
		r["timeout_ms"], r["slo_ms"] = 6000, 1500
	}
	d.engine = engine
	d.reloadable.Grace = 8 * time.Second
	p := &progress{d: d, services: []map[string]any{{"name": "desk", "max_conns": 50}, {"name": "model", "max_conns": 50, "engine": engine}}}
	p.publish()
	for _, id := range []string{"d1", "d2"} {
		d.addRunner(runner.Config{ID: id, Body: "booked", ProcessingTime: progressTime}, "desk")
	}
	for _, id := range []string{"m1", "m2"} {
		d.addRunner(runner.Config{ID: id, Events: progressEvents, EventInterval: progressTime / progressEvents}, "model")
	}
	d.runners["m2"].ShareFaults(d.runners["m1"])
	p.gateways = []*process{d.startReady()}
	if isolated {
		link := &isolation{}
		link.members.Store(true)
		p.links = append(p.links, link)
		p.gateways = append(p.gateways, d.startIsolated(link))
	}
	return p
}

// publish writes the next version of the configuration to the store.
func (p *progress) publish() {
	p.d.version++
	p.d.store.PutJSON("keyed.op", "config", map[string]any{
		"version": p.d.version, "routes": p.d.routes, "services": p.services, "limits": p.d.limits,
		"tenants": []map[string]any{{"name": "org-a", "api_keys": p.d.keys}},
	})
}

// record writes the record of each server with these values changed.
func (p *progress) record(change map[string]any, ids ...string) {
	for _, id := range ids {
		p.d.reports++
		r := map[string]any{"service": map[byte]string{'d': "desk", 'm': "model"}[id[0]], "addr": p.d.runners[id].Address(), "zone": "z1",
			"version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "born": 1, "seq": p.d.reports}
		for k, v := range change {
			r[k] = v
		}
		p.d.store.PutJSON("keyed.servers", id, r)
	}
}

// progressRequest is a request that is in progress while the configuration changes.
type progressRequest struct {
	kind string
	// running is set if a server ran it before the change, and broken if that server breaks
	// off its stream after the change.
	running, broken bool
	id              string
	answer          <-chan timedAnswer
}

// begin sends a request.
func (p *progress) begin(to *process, kind, method, path string, broken bool) *progressRequest {
	r := newRequest(to, method, path, "key-a", "work")
	r.Header.Set("Nutmegnotch-Deadline-Ms", "6000")
	return &progressRequest{kind: kind, broken: broken, id: r.Header.Get("Nutmegnotch-Request-Id"), answer: begin(r)}
}

// load fills all places of the servers and the queues, and begins with a stream for each
// gateway that its server breaks off in the middle.
func (p *progress) load() []*progressRequest {
	var list []*progressRequest
	for _, to := range p.gateways {
		p.d.runners["m1"].Fail(runner.FaultTruncated)
		list = append(list, p.begin(to, "broken stream", http.MethodPost, "/draft/1", true))
		p.d.awaitRuns("m", len(list))
	}
	for range 7 {
		for _, to := range p.gateways {
			list = append(list, p.begin(to, "booking", http.MethodPost, "/book/1", false),
				p.begin(to, "lookup", http.MethodGet, "/lookup/1", false), p.begin(to, "stream", http.MethodPost, "/draft/1", false))
		}
	}
	return list
}

// awaitRuns waits until servers whose ids have this prefix have run n requests.
func (d *deployment) awaitRuns(prefix string, n int) {
	d.t.Helper()
	eventually(d.t, "requests run", func() bool { return len(d.ran(prefix)) >= n })
}

// ran returns the ids of the requests that servers with this prefix have run.
func (d *deployment) ran(prefix string) map[string]bool {
	ids := map[string]bool{}
	for id, r := range d.runners {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		for _, run := range r.Runs() {
			ids[run.ID] = true
		}
	}
	return ids
}

// change applies a change with a reload of the settings beside it, and lets the gateways that
// are isolated learn of it later.
func (p *progress) change(apply func(p *progress), reload bool) {
	for _, l := range p.links {
		l.cut.Store(true)
	}
	apply(p)
	if reload {
		for _, g := range p.gateways {
			g.reload(gateway.ReloadableConfig{RetryRatio: 0.5, RetrySlack: 30, RetryWindow: 5 * time.Second, Grace: 4 * time.Second})
		}
	}
	time.Sleep(learnLater)
	for _, l := range p.links {
		l.cut.Store(false)
	}
}

// Guards against requests in progress that get no answer, or a failure although their server
// answers, because a change takes away their service, engine, zone or server.
func TestChangesSpareRequestsInProgress(t *testing.T) {
	t.Parallel()
	engine := func(slots int) map[string]any {
		return map[string]any{"slots": slots, "kv_capacity": 280000, "step_ms": 5, "stride": 1, "usual": map[string]any{"prompt": 100, "answer": 100}}
	}
	all := []string{"d1", "d2", "m1", "m2"}
	other := []map[string]any{{"name": "other", "max_conns": 50}}
	split := func(service string, weight int, then string) []map[string]any {
		return []map[string]any{{"service": service, "weight": weight}, {"service": then, "weight": 100 - weight}}
	}
	weights := func(weight int) func(p *progress) {
		return func(p *progress) {
			p.d.routes[0]["split"] = split("desk", weight, "other")
			p.d.routes[1]["split"] = split("desk", weight, "other")
			p.d.routes[2]["split"] = split("model", weight, "other")
			p.services = append(p.services, other...)
			p.publish()
		}
	}
	cases := []struct {
		name   string
		engine map[string]any
		apply  func(p *progress)
		// resumes is set if the servers take requests after the change.
		resumes bool
	}{
		{"nothing", nil, func(p *progress) { p.publish() }, true},
		{"services gone, routes kept", nil, func(p *progress) { p.services = other; p.publish() }, true},
		{"services gone, routes moved", nil, func(p *progress) {
			for _, r := range p.d.routes {
				r["service"] = "other"
			}
			p.services = other
			p.publish()
		}, true},
		{"services and routes gone", nil, func(p *progress) {
			p.services, p.d.routes = other, []map[string]any{route("other", "/other/", "idempotent", "other", 1)}
			p.publish()
		}, true},
		{"one connection", nil, func(p *progress) {
			p.services = []map[string]any{{"name": "desk", "max_conns": 1}, {"name": "model", "max_conns": 1}}
			p.publish()
		}, true},
		{"services swapped", nil, func(p *progress) {
			p.d.routes[0]["service"], p.d.routes[1]["service"], p.d.routes[2]["service"] = "model", "model", "desk"
			p.publish()
		}, true},
		{"engine added", nil, func(p *progress) { p.services[1]["engine"] = engine(4); p.publish() }, true},
		{"engine gone", engine(4), func(p *progress) { delete(p.services[1], "engine"); p.publish() }, true},
		{"engine and service gone", engine(4), func(p *progress) { p.services = p.services[:1]; p.publish() }, true},
		{"engine of one slot", engine(4), func(p *progress) { p.services[1]["engine"] = engine(1); p.publish() }, true},
		{"engine of more slots", engine(4), func(p *progress) { p.services[1]["engine"] = engine(40); p.publish() }, true},
		{"weight 0", nil, weights(0), true},
		{"weight 1", nil, weights(1), true},
		{"weight 100", nil, weights(100), true},
		{"weights on and off in ten versions", nil, func(p *progress) {
			for i := range 10 {
				weights(100 * (i % 2))(p)
				time.Sleep(learnLater / 20)
			}
		}, true},
		{"zone evacuated", nil, func(p *progress) { p.d.store.Put("keyed.op", "evacuate/z1", []byte("{}")) }, false},
		{"zone evacuated, engines", engine(4), func(p *progress) { p.d.store.Put("keyed.op", "evacuate/z1", []byte("{}")) }, false},
		{"zone evacuated and taken back", nil, func(p *progress) {
			p.d.store.Put("keyed.op", "evacuate/z1", []byte("{}"))
			time.Sleep(learnLater / 3)
			p.d.store.Put("keyed.op", "evacuate/z1", nil)
		}, true},
		{"zone of the servers changed", nil, func(p *progress) { p.record(map[string]any{"zone": "z2"}, all...) }, true},
		{"servers moved into an evacuated zone", nil, func(p *progress) {
			p.d.store.Put("keyed.op", "evacuate/z2", []byte("{}"))
			p.record(map[string]any{"zone": "z2"}, all...)
		}, false},
		{"servers leaving", nil, func(p *progress) { p.record(map[string]any{"state": "draining"}, all...) }, false},
		{"servers not listed", nil, func(p *progress) {
			for _, id := range all {
				p.d.store.Put("keyed.servers", id, nil)
			}
		}, false},
		{"servers not listed for a moment", nil, func(p *progress) {
			for _, id := range all {
				p.d.store.Put("keyed.servers", id, nil)
			}
			time.Sleep(learnLater / 3)
			p.record(nil, all...)
		}, false},
		{"servers of another service", nil, func(p *progress) { p.record(map[string]any{"service": "other"}, all...) }, false},
		{"servers of one slot", nil, func(p *progress) { p.record(map[string]any{"slots": 1}, all...) }, true},
		{"servers cold", nil, func(p *progress) { p.record(map[string]any{"cold_left_ms": 5000}, all...) }, true},
		{"services gone, zone evacuated", engine(4), func(p *progress) {
			p.d.store.Put("keyed.op", "evacuate/z1", []byte("{}"))
			p.services, p.d.routes = other, []map[string]any{route("other", "/other/", "idempotent", "other", 1)}
			p.publish()
		}, false},
	}
	for _, tc := range cases {
		for _, mode := range []struct {
			name             string
			isolated, reload bool
		}{{"", false, false}, {", two gateways, reload", true, true}} {
			t.Run(tc.name+mode.name, func(t *testing.T) {
				t.Parallel()
				p := startProgress(t, tc.engine, mode.isolated)
				list := p.load()
				uploads := p.beginUploads(t)
				time.Sleep(progressTime / 4)
				ran := p.d.ran("")
				p.change(tc.apply, mode.reload)
				for _, u := range uploads {
					u.finish(t)
				}
				waited := 0
				for _, r := range list {
					r.running = ran[r.id]
					if !r.running {
						waited++
					}
					r.check(t, tc.resumes)
				}
				if waited == 0 || waited == len(list) {
					t.Errorf("requests that waited for a server at the change: got %d of %d, want some", waited, len(list))
				}
			})
		}
	}
}

// check checks the answer to a request. One that a server ran is served, and one that waited
// is served or refused.
func (r *progressRequest) check(t *testing.T, resumes bool) {
	t.Helper()
	got := <-r.answer
	whole := got.err == nil && got.status == http.StatusOK && (got.body == "booked" || got.body == wantStream(progressEvents))
	refused := got.err == nil && got.status == http.StatusServiceUnavailable
	switch {
	case whole, refused && !r.running:
	case r.broken && !resumes:
	default:
		t.Errorf("%s (running at the change: %t): got %d with %d bytes after %v (%v)", r.kind, r.running, got.status, len(got.body), got.took, got.err)
	}
}

// begunUpload is a request of which a part has been sent.
type begunUpload struct {
	path string
	conn *callerConn
}

const uploadHead = "POST %s HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n" +
	"Nutmegnotch-Deadline-Ms: 6000\r\nContent-Length: 8\r\n\r\nhalf"

func (p *progress) beginUploads(t *testing.T) []begunUpload {
	t.Helper()
	var list []begunUpload
	for i, to := range p.gateways {
		for _, path := range []string{"/book/2", "/draft/2"} {
			u := begunUpload{path, dial(t, to)}
			if _, err := fmt.Fprintf(u.conn, uploadHead, path, fmt.Sprint("upload", i, path[1:2])); err != nil {
				t.Fatalf("send half of a request: %v", err)
			}
			list = append(list, u)
		}
	}
	return list
}

// finish sends the rest. The answer is a success or a refusal.
func (u begunUpload) finish(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(u.conn, "half"); err != nil {
		t.Errorf("send the rest of %s: %v", u.path, err)
	}
	if got, err := u.conn.readStatus(); got != http.StatusOK && got != http.StatusServiceUnavailable {
		t.Errorf("upload of %s: got %d (%v), want 200 or 503", u.path, got, err)
	}
}

// Guards against a request that gets no answer because it is the first of its service and has
// arrived, with a slow body, before one of another service that is counted earlier, after a
// start or a reload that changes the window of the retry budget.
func TestSlowFirstRequestOfAServiceIsAnswered(t *testing.T) {
	t.Parallel()
	for _, reload := range []bool{false, true} {
		t.Run(fmt.Sprint("reload ", reload), func(t *testing.T) {
			t.Parallel()
			p := startProgress(t, nil, false)
			if reload {
				if got := send(newRequest(p.gateways[0], http.MethodPost, "/book/1", "key-a", "pay")); got.status != http.StatusOK {
					t.Fatalf("booking before the reload: got %d (%v), want 200", got.status, got.err)
				}
			}
			uploads := p.beginUploads(t)
			// More than a twentieth of the window.
			time.Sleep(600 * time.Millisecond)
			if reload {
				settings := p.d.reloadable
				settings.RetryWindow = 5 * time.Second
				p.gateways[0].reload(settings)
			}
			if got := send(newRequest(p.gateways[0], http.MethodPost, "/draft/1", "key-a", "write")); got.status != http.StatusOK {
				t.Fatalf("stream: got %d (%v), want 200", got.status, got.err)
			}
			for _, u := range uploads {
				u.finish(t)
			}
		})
	}
}
