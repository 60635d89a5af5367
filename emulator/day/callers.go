package day

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// callerKind is a kind of request.
type callerKind struct {
	path string
	once bool
	want string
}

var callerKinds = []callerKind{
	{path: "/lookup/", want: "done"},
	{path: "/book/", once: true, want: "done"},
	{path: "/draft/", want: wantStream()},
}

// request returns a request with an id of its own.
func (d *day) request(p *process, path, key string, once bool) *http.Request {
	d.mu.Lock()
	d.number++
	id := fmt.Sprintf("request-%d", d.number)
	d.sentBy[id], d.once[id] = p.address, once
	d.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+p.address+path+id, nil)
	if err != nil {
		panic(err)
	}
	r.Host = "a.example"
	r.Header.Set("Nutmegnotch-Request-Id", id)
	r.Header.Set("Nutmegnotch-Key", key)
	r.Header.Set("Nutmegnotch-Deadline-Ms", "2500")
	return r
}

// call sends requests of a kind through a gateway until the end of the day.
func (d *day) call(kind, gateway int) {
	k := callerKinds[kind]
	for sleep(d.ctx, callerPause) {
		p := d.gateway(gateway)
		if p == nil {
			continue
		}
		r := d.request(p, k.path, "main", k.once)
		status, body, err := d.do(r)
		d.mu.Lock()
		d.result.Sent++
		d.outcomes[r.Header.Get("Nutmegnotch-Request-Id")] = status
		switch {
		case err == nil && status == http.StatusOK:
			d.result.Served++
		case err == nil && status == http.StatusServiceUnavailable:
			d.result.Refused++
		default:
			d.result.Failed++
		}
		d.mu.Unlock()
		switch {
		case err == nil && status == http.StatusOK && body != k.want:
			d.violate("%s got %q as a whole reply, want %q", r.URL.Path, body, k.want)
		case status == http.StatusUnauthorized || status == http.StatusNotFound:
			d.violate("%s got %d, although every configuration allows it", r.URL.Path, status)
		}
	}
}

func (d *day) do(r *http.Request) (status int, body string, err error) {
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// accepts reports whether a gateway accepts the key of a version.
func (d *day) accepts(p *process, version int) bool {
	status, _, err := d.do(d.request(p, "/lookup/", versionKey(version), false))
	return err == nil && status != http.StatusUnauthorized
}

// probeInterval is the interval at which the configuration in force is looked at.
const probeInterval = 20 * time.Millisecond

// untilInForce waits until all gateways accept the key of the newest version, and returns
// how long that took.
func (d *day) untilInForce() time.Duration {
	begun := time.Now()
	for i := range gateways {
		for p := d.gateway(i); p != nil && !d.accepts(p, d.newest()) && sleep(d.ctx, probeInterval); p = d.gateway(i) {
		}
	}
	return time.Since(begun)
}

func (d *day) newest() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}
