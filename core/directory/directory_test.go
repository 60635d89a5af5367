package directory_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

var now = time.Unix(1_000_000, 0)

// decoder decodes the value of the key config as a version, and the values of
// servers as "state", "state address" or "state address started number". All other keys
// are drained domains.
type decoder struct{}

func (decoder) Decode(t core.Topic, r core.KeyedRecord) (core.DecodedRecord, error) {
	switch {
	case t == core.TopicServers:
		decoded := core.DecodedRecord{Kind: core.RecordServer}
		if r.Deleted {
			return decoded, nil
		}
		if string(r.Value) == "bad" {
			return decoded, fmt.Errorf("bad record: %w", core.ErrInvalid)
		}
		state, address, ok := strings.Cut(string(r.Value), " ")
		if !ok {
			address = "address of " + r.Key
		}
		decoded.Server = &core.BackendServer{ID: r.Key, Service: "s", Domain: "z1", Address: address}
		if f := strings.Fields(address); len(f) == 3 {
			decoded.Server.Address = f[0] + r.Key
			decoded.Server.StartedUnixMS, _ = strconv.ParseInt(f[1], 10, 64)
			decoded.Server.ReportNumber, _ = strconv.ParseInt(f[2], 10, 64)
		}
		if state == "leaving" {
			decoded.Server.State = core.BackendLeaving
		}
		return decoded, nil
	case r.Key == "config":
		n, err := strconv.ParseInt(string(r.Value), 10, 64)
		return core.DecodedRecord{Kind: core.RecordDeployment, Deployment: &core.Deployment{Version: n}}, err
	}
	return core.DecodedRecord{Kind: core.RecordDrainedDomain, Domain: strings.TrimPrefix(r.Key, "out/")}, nil
}

func rec(key, value string, offset int64) core.KeyedRecord {
	return core.KeyedRecord{Key: key, Value: []byte(value), Position: core.Position{Offset: offset}, Deleted: value == ""}
}

// batch returns a batch of one record.
func batch(r core.KeyedRecord) core.KeyedBatch {
	return core.KeyedBatch{Records: []core.KeyedRecord{r}, Next: r.Position.WithOffset(r.Position.Offset + 1)}
}

func usable(d *directory.Directory) string {
	var out []string
	for _, s := range d.Servers() {
		if s.Usable {
			out = append(out, s.ID)
		}
	}
	return strings.Join(out, " ")
}

// Guards against requests to a server that lost power and whose address another
// server has taken over. The record of the first server remains until it expires.
func TestNewestServerAtAnAddress(t *testing.T) {
	d := directory.New(decoder{})
	steps := []struct {
		r    core.KeyedRecord
		want string
	}{
		{rec("a", "ready 10.0.0.1:1", 1), "a"},
		{rec("b", "ready 10.0.0.1:1", 2), "b"},
		{rec("c", "ready 10.0.0.2:1", 3), "b c"},
		{rec("a", "ready 10.0.0.1:1", 4), "a c"},
		{rec("a", "", 5), "b c"},
	}
	for i, s := range steps {
		if _, err := d.Append(core.TopicServers, batch(s.r), time.Unix(1000, 0)); err != nil {
			t.Fatalf("apply record %d: %v", i, err)
		}
		if got := usable(d); got != s.want {
			t.Errorf("usable servers after record %d: got %q, want %q", i, got, s.want)
		}
	}
}

// Guards against a configuration whose version decreases when records arrive out
// of order.
func TestVersionNeverGoesBack(t *testing.T) {
	d := directory.New(decoder{})
	for _, c := range []struct {
		offset  int64
		version string
		want    int64
	}{{5, "3", 3}, {4, "9", 3}, {6, "2", 3}, {7, "", 3}, {8, "10", 10}, {8, "11", 10}} {
		if _, err := d.Append(core.TopicOperator, batch(rec("config", c.version, c.offset)), now); err != nil && c.version != "" {
			t.Fatalf("apply: %v", err)
		}
		if got := d.Deployment().Version; got != c.want {
			t.Errorf("after offset %d with version %q: got %d, want %d", c.offset, c.version, got, c.want)
		}
	}
}

// Guards against servers that stay in use after they have left, and against
// servers that are dropped because of an outage of the store.
func TestServersThatLeaveAndLapse(t *testing.T) {
	steps := []struct {
		name string
		run  func(d *directory.Directory)
		at   time.Duration
		want string
	}{
		{"two are ready", func(d *directory.Directory) {
			apply(t, d, rec("a", "ready", 1), 0)
			apply(t, d, rec("b", "ready", 2), 0)
		}, 0, "a b"},
		{"one is leaving", func(d *directory.Directory) { apply(t, d, rec("a", "leaving", 3), 0) }, 0, "b"},
		{"an old record is applied again", func(d *directory.Directory) { apply(t, d, rec("a", "ready", 1), 0) }, 0, "b"},
		{"a record is removed during an outage of the store", func(d *directory.Directory) {
			d.StoreFailed(now)
			apply(t, d, rec("b", "", 4), 0)
		}, 0, "b"},
		{"the store answers again", func(d *directory.Directory) { d.StoreAnswered(now.Add(10 * time.Second)) }, 11 * time.Second, "b"},
		{"the server is back in time", func(d *directory.Directory) { apply(t, d, rec("b", "ready", 5), 11*time.Second) }, 13 * time.Second, "b"},
		{"a record is removed while the store answers", func(d *directory.Directory) { apply(t, d, rec("b", "", 6), 14*time.Second) }, 14 * time.Second, ""},
		{"a further outage", func(d *directory.Directory) {
			apply(t, d, rec("c", "ready", 7), 14*time.Second)
			d.StoreFailed(now.Add(14 * time.Second))
			apply(t, d, rec("c", "", 8), 15*time.Second)
			d.StoreAnswered(now.Add(20 * time.Second))
		}, 21 * time.Second, "c"},
		{"the server is still missing", func(*directory.Directory) {}, 22*time.Second + time.Millisecond, ""},
	}
	d := directory.New(decoder{})
	for _, s := range steps {
		s.run(d)
		d.Expire(now.Add(s.at))
		if got := usable(d); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
}

func apply(t *testing.T, d *directory.Directory, r core.KeyedRecord, at time.Duration) {
	t.Helper()
	if _, err := d.Append(core.TopicServers, batch(r), now.Add(at)); err != nil {
		t.Fatalf("apply %s: %v", r.Key, err)
	}
}

// Guards against a failure domain that is not drained or not restored, and
// against removed keys that stay known because the store no longer keeps the
// records of their removal.
func TestDrainedDomainsAndCompleteReads(t *testing.T) {
	d := directory.New(decoder{})
	apply(t, d, rec("a", "ready", 1), 0)
	apply(t, d, rec("b", "ready", 2), 0)
	if _, err := d.Append(core.TopicOperator, batch(rec("out/z1", "{}", 1)), now); err != nil {
		t.Fatalf("apply: %v", err)
	}
	if got := usable(d); got != "" {
		t.Errorf("drained: got %q, want none", got)
	}
	if _, err := d.Replace(core.TopicOperator, core.KeyedBatch{Next: core.Position{Offset: 9}}, now); err != nil {
		t.Fatalf("replace: %v", err)
	}
	if got, want := usable(d), "a b"; got != want {
		t.Errorf("after a batch without the drained domain: got %q, want %q", got, want)
	}
	// A batch that is older than the known records removes no newer ones.
	if _, err := d.Replace(core.TopicServers, core.KeyedBatch{Records: []core.KeyedRecord{rec("a", "ready", 1)}, Next: core.Position{Offset: 2}}, now); err != nil {
		t.Fatalf("replace: %v", err)
	}
	if got, want := usable(d), "a b"; got != want {
		t.Errorf("after an older batch: got %q, want %q", got, want)
	}
	if _, err := d.Replace(core.TopicServers, core.KeyedBatch{Records: []core.KeyedRecord{rec("b", "ready", 2)}, Next: core.Position{Offset: 8}}, now); err != nil {
		t.Fatalf("replace: %v", err)
	}
	if got, want := usable(d), "b"; got != want {
		t.Errorf("after a batch without a server: got %q, want %q", got, want)
	}
	if _, err := d.Append(core.TopicServers, batch(rec("b", "bad", 9)), now); err == nil {
		t.Error("unreadable record: got no error, want one")
	}
	if got := usable(d); got != "" {
		t.Errorf("after an unreadable record: got %q, want none", got)
	}
}

// Guards against a peer that does not reach the same state from the records of
// another one.
func TestPeerCatchesUpFromRecords(t *testing.T) {
	a, b := directory.New(decoder{}), directory.New(decoder{})
	apply(t, a, rec("x", "ready", 1), 0)
	apply(t, a, rec("y", "ready", 2), 0)
	apply(t, a, rec("x", "", 5), 0)
	news, full := a.Since(core.TopicServers, b.Next(core.TopicServers))
	if _, err := b.Append(core.TopicServers, news, now); err != nil || full {
		t.Fatalf("append: got full batch %t and error %v, want neither", full, err)
	}
	if got, want := usable(b), usable(a); got != want {
		t.Errorf("servers of the peer: got %q, want %q", got, want)
	}
}

// Guards against requests that are sent to the wrong route or service.
func TestFindRoute(t *testing.T) {
	r := directory.NewRoutes(&core.Deployment{Routes: []core.Route{
		{Name: "short", Host: "A.example", PathPrefix: "/a/"},
		{Name: "long", Host: "a.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/a/x", "short"},
		{"a.example:80", "/a/b/x", "long"},
		{"A.EXAMPLE", "/a/b/", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/b/", ""},
		{"b.example", "/a/b/x", "other"},
		{"c.example", "/a/", ""},
	}
	for _, c := range cases {
		if got, _ := r.Find(c.host, c.path); got.Name != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got.Name, c.want)
		}
	}
	split := core.Route{Targets: []core.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		fraction float64
		want     string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.9999, "b"}} {
		if got := directory.PickService(split, c.fraction); got != c.want {
			t.Errorf("split at %v: got %q, want %q", c.fraction, got, c.want)
		}
	}
}

// Guards against a process that is taken for running although another one has taken
// its place, or for crashed although it leaves as planned.
func TestStateOfOneProcess(t *testing.T) {
	cases := []struct {
		name    string
		records []core.KeyedRecord
		want    directory.ProcessState
	}{
		{"ready", []core.KeyedRecord{rec("a", "ready x", 1)}, directory.ProcessReady},
		{"leaving", []core.KeyedRecord{rec("a", "leaving x", 1)}, directory.ProcessLeaving},
		{"not listed", []core.KeyedRecord{rec("b", "ready y", 1)}, directory.ProcessUnlisted},
		{"another server at its address", []core.KeyedRecord{rec("a", "ready x", 1), rec("b", "ready x", 2)}, directory.ProcessReplaced},
		{"its record is gone, another server at its address", []core.KeyedRecord{rec("b", "ready x", 2)}, directory.ProcessReplaced},
		{"an earlier server at its address", []core.KeyedRecord{rec("b", "ready x", 1), rec("a", "ready x", 2)}, directory.ProcessReady},
	}
	for _, c := range cases {
		d := directory.New(decoder{})
		for _, r := range c.records {
			if _, err := d.Append(core.TopicServers, batch(r), now); err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
		}
		if got := d.Process(core.BackendServer{ID: "a", Address: "x"}); got != c.want {
			t.Errorf("%s: got state %d, want %d", c.name, got, c.want)
		}
	}
	d := directory.New(decoder{})
	if _, err := d.Append(core.TopicServers, batch(rec("a", "ready x", 1)), now); err != nil {
		t.Fatal(err)
	}
	if got, want := d.Process(core.BackendServer{ID: "a", Address: "x", StartedUnixMS: 7}), directory.ProcessReplaced; got != want {
		t.Errorf("another start time: got state %d, want %d", got, want)
	}
}
