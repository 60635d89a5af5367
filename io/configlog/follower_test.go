package configlog_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	emulator "nutmegnotch/emulator/platformlog"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// logTransport counts the calls to the log and can block them.
type logTransport struct {
	blocked atomic.Bool
	calls   atomic.Int64
	base    *http.Transport
}

func (t *logTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	if t.blocked.Load() {
		return nil, errors.New("calls to the log are blocked")
	}
	return t.base.RoundTrip(r)
}

// fakeHostList is a core.HostList with fixed hosts.
type fakeHostList struct{ list atomic.Pointer[[]core.Host] }

func (h *fakeHostList) Hosts(context.Context) ([]core.Host, error) { return *h.list.Load(), nil }

type process struct {
	*configlog.Follower
	transport *logTransport
	node      *peer.Node
	address   string
	// ignoreFrames makes the process ignore the control frames of its peers.
	ignoreFrames atomic.Bool
	stop         func()
}

// cluster runs followers, in one process, on an emulator of the log.
type cluster struct {
	t         testing.TB
	log       *emulator.Server
	url       string
	hosts     *fakeHostList
	processes []*process
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, log: emulator.New(emulator.Config{}), hosts: &fakeHostList{}}
	c.hosts.list.Store(&[]core.Host{})
	srv := httptest.NewServer(c.log)
	c.url = srv.URL
	t.Cleanup(func() {
		for _, p := range c.processes {
			p.stop()
		}
		c.log.Close()
		srv.Close()
	})
	return c
}

// start starts a follower that dials the given processes.
func (c *cluster) start(id, role string, edit func(*configlog.Config), dial ...*process) *process {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{address: l.Addr().String(), transport: &logTransport{base: &http.Transport{}}}
	log := platformlog.NewWithTransport(c.url, 500*time.Millisecond, p.transport)
	cfg := configlog.Config{
		Self: core.EntryInfo{ID: id, Address: p.address, Domain: "d", Region: "r"}, Role: role, Log: log, Hosts: c.hosts,
		ExchangeInterval: 50 * time.Millisecond, ReadWait: 200 * time.Millisecond, EntrySetDelay: 300 * time.Millisecond,
	}
	if edit != nil {
		edit(&cfg)
	}
	p.Follower = configlog.New(cfg)
	p.node = peer.New(peer.Config{
		Self: &peerpb.Hello{Id: id, Role: role, Incarnation: p.address, Address: p.address, FailureDomain: "d", Region: "r"},
		OnControl: func(s *peer.Session, f *peerpb.Frame) {
			if !p.ignoreFrames.Load() {
				p.Control(s, f)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); _ = p.node.Serve(l) }()
	go p.Run(ctx, p.node)
	for _, other := range dial {
		p.node.KeepConnected(other.address)
	}
	stopped := false
	p.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		p.node.Stop()
		<-served
		<-p.Done()
		p.transport.base.CloseIdleConnections()
	}
	c.processes = append(c.processes, p)
	return p
}

// startThreeEntries starts three entries and waits until they form the entry set.
func (c *cluster) startThreeEntries() []*process {
	c.t.Helper()
	a := c.start("a", core.RoleEntry, nil)
	b := c.start("b", core.RoleEntry, nil, a)
	d := c.start("c", core.RoleEntry, nil, a, b)
	for _, p := range []*process{a, b, d} {
		wait(c.t, "entry set of three", 10*time.Second, func() bool { return len(p.Current().EntrySet.Entries) == 3 })
	}
	return []*process{a, b, d}
}

func wait(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not reached within %s", what, limit)
		}
	}
}

func drain(id, domain string, basedOn int64) config.Change {
	return config.Change{ChangeID: id, Author: "test", Object: "domain/" + domain, BasedOn: basedOn,
		Value: json.RawMessage(fmt.Sprintf(`{"name":%q,"state":"drained"}`, domain))}
}

func publish(t testing.TB, p *process, c config.Change, limit time.Duration, want config.Result) config.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o, err := p.Publish(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if o.Result != want {
		t.Fatalf("publish %s: got %s (%s), want %s", c.ChangeID, o.Result, o.Reason, want)
	}
	return o
}

// Guards against an accepted change that some process does not apply, against two
// winners among concurrent changes, and against a change that is applied twice
// because the response to its append was lost.
func TestPublish(t *testing.T) {
	c := newCluster(t)
	ps := c.startThreeEntries()
	publish(t, ps[0], drain("one", "x", 0), 5*time.Second, config.Accepted)
	for _, p := range ps {
		wait(t, "domain x drained", 5*time.Second, func() bool { return p.Current().Drained("x") })
	}

	results := make(chan config.Outcome, 2)
	for i, p := range ps[:2] {
		go func() {
			o, err := p.Publish(context.Background(), drain(fmt.Sprint("race", i), "y", 0))
			if err != nil {
				t.Error(err)
			}
			results <- o
		}()
	}
	first, second := <-results, <-results
	if first.Result == config.Lost {
		first, second = second, first
	}
	if first.Result != config.Accepted || second.Result != config.Lost || second.Winner != first.ChangeID {
		t.Errorf("race: got %+v and %+v, want one accepted and one lost to it", first, second)
	}

	c.log.SetFaults(emulator.Faults{LoseAppendAnswers: 2, LoseStream: core.StreamConfig})
	o := publish(t, ps[2], drain("lost-answer", "z", 0), 5*time.Second, config.Accepted)
	again := publish(t, ps[1], drain("lost-answer", "z", 0), 5*time.Second, config.Accepted)
	if again != o {
		t.Errorf("repeat: got %+v, want %+v", again, o)
	}
	if _, err := ps[0].Publish(context.Background(), drain("lost-answer", "other", 0)); !errors.Is(err, core.ErrInvalid) {
		t.Errorf("reused change id: got %v, want ErrInvalid", err)
	}
	for _, p := range ps[1:] {
		wait(t, "equal state", 5*time.Second, func() bool { return p.Current().StateHash == ps[0].Current().StateHash })
	}
}

// Guards against a log outage that makes entries unconfirmed though they confirm
// each other, against a change that is reported as accepted during the outage, and
// against a process that starts during the outage and gets no configuration.
func TestLogOutage(t *testing.T) {
	c := newCluster(t)
	ps := c.startThreeEntries()
	publish(t, ps[0], drain("before", "x", 0), 5*time.Second, config.Accepted)
	c.log.SetFaults(emulator.Faults{Outage: emulator.OutageHang})
	publish(t, ps[0], drain("during", "y", 0), time.Second, config.Unknown)
	time.Sleep(config.MaxConfirmationAge + time.Second)
	for i, p := range ps {
		if !p.Confirmed(time.Now()) {
			t.Errorf("entry %d: not confirmed by the majority", i)
		}
	}
	late := c.start("late", core.RoleAgent, nil, ps...)
	wait(t, "snapshot from a peer", 5*time.Second, func() bool {
		return late.Current().Drained("x") && late.Confirmed(time.Now())
	})
	if got, want := late.Current().StateHash, ps[0].Current().StateHash; got != want {
		t.Errorf("hash after snapshot: got %x, want %x", got, want)
	}

	// Only one entry is left: without the log and a majority, no process may stay
	// confirmed.
	ps[1].stop()
	ps[2].stop()
	for _, p := range []*process{ps[0], late} {
		wait(t, "unconfirmed without majority", config.MaxConfirmationAge+2*time.Second, func() bool { return !p.Confirmed(time.Now()) })
	}
	if o, ok := ps[0].Outcome(context.Background(), "before"); !ok || o.Result != config.Accepted {
		t.Errorf("outcome without majority: got %+v, want accepted as before", o)
	}
	c.log.SetFaults(emulator.Faults{})
	wait(t, "confirmation by the log", 5*time.Second, func() bool { return ps[0].Confirmed(time.Now()) })
}

// Guards against a process without access to the log that keeps an old
// configuration although it has a peer, and against one without log and peers
// that stays confirmed longer than MaxConfirmationAge.
func TestCutOffFromTheLog(t *testing.T) {
	c := newCluster(t)
	ps := c.startThreeEntries()
	cutOff := ps[2]
	cutOff.transport.blocked.Store(true)
	o := publish(t, ps[0], drain("one", "x", 0), 5*time.Second, config.Accepted)
	wait(t, "change through a peer", 2*time.Second, func() bool { return cutOff.Current().Drained("x") })
	time.Sleep(config.MaxConfirmationAge + 500*time.Millisecond)
	if !cutOff.Confirmed(time.Now()) {
		t.Error("process with confirmed peers: not confirmed")
	}
	if got, ok := ps[1].Outcome(context.Background(), "one"); !ok || got != o {
		t.Errorf("outcome at another entry: got %+v, want %+v", got, o)
	}
	isolated := c.start("isolated", core.RoleAgent, nil)
	wait(t, "confirmation by the log", 5*time.Second, func() bool { return isolated.Confirmed(time.Now()) })
	isolated.transport.blocked.Store(true)
	began := time.Now()
	wait(t, "unconfirmed without log and peers", config.MaxConfirmationAge+time.Second, func() bool { return !isolated.Confirmed(time.Now()) })
	if got, least := time.Since(began), config.MaxConfirmationAge-time.Second; got < least {
		t.Errorf("unconfirmed after %s, want at least %s", got, least)
	}
	// The age of a report without an echo is unknown, for example after a pause.
	isolated.Control(&peer.Session{Hello: &peerpb.Hello{Id: "peer", Role: core.RoleEntry}}, &peerpb.Frame{Body: &peerpb.Frame_Position{
		Position: &peerpb.Position{Confirmed: true, Established: true, Seq: 1}}})
	time.Sleep(200 * time.Millisecond)
	if isolated.Confirmed(time.Now()) {
		t.Error("report of unknown age: got confirmed, want not confirmed")
	}
}

// Guards against records that expire before a checkpoint covers them, against a
// process that cannot start from the checkpoint, and against an incomplete
// transfer of a snapshot in several parts.
func TestExpiredRecords(t *testing.T) {
	c := newCluster(t)
	short := func(cfg *configlog.Config) {
		cfg.Retention, cfg.CheckpointDelay = 2*time.Second, 50*time.Millisecond
	}
	writer := c.start("writer", core.RoleEntry, short)
	for i := range 5 {
		publish(t, writer, drain(fmt.Sprint("change", i), fmt.Sprint("d", i), 0), 5*time.Second, config.Accepted)
	}
	for i := range 5 {
		publish(t, writer, largeChange(i), 5*time.Second, config.Accepted)
	}
	log := platformlog.New(c.url, 0)
	defer log.Close()
	covered := int64(0)
	wait(t, "checkpoint of all changes", 10*time.Second, func() bool {
		b, err := log.Read(context.Background(), core.StreamConfig, 0, 100, 0)
		for _, r := range b.Records {
			if n, ok := config.CheckpointOffset(r.Data); ok {
				covered = n
			}
		}
		return err == nil && covered > 10
	})
	c.log.SetFaults(emulator.Faults{ExpireBefore: covered})
	reader := c.start("reader", core.RoleAgent, nil)
	wait(t, "state from the checkpoint", 5*time.Second, func() bool {
		return reader.Current().Drained("d4") && reader.Confirmed(time.Now())
	})
	if got, want := reader.Current().StateHash, writer.Current().StateHash; got != want {
		t.Errorf("hash: got %x, want %x", got, want)
	}
	// The reader has no records before the checkpoint, so it sends a snapshot.
	unreachable := platformlog.New("127.0.0.1:1", 0)
	defer unreachable.Close()
	behind := c.start("behind", core.RoleAgent, func(cfg *configlog.Config) { cfg.Log = unreachable }, reader)
	wait(t, "state from a snapshot", 5*time.Second, func() bool {
		return behind.Current().StateHash == writer.Current().StateHash && behind.Confirmed(time.Now())
	})
}

// largeChange returns a change with a value of 66 KB, so that four of them exceed
// one part of a snapshot.
func largeChange(i int) config.Change {
	var hashes []string
	for j := range 1000 {
		hashes = append(hashes, fmt.Sprintf("%064x", i*1000+j))
	}
	org := fmt.Sprint("org", i)
	value, _ := json.Marshal(core.Contract{Organisation: org, CallerKeyHashes: hashes, RequestsPerSecond: 1, TokensPerSecond: 1,
		Concurrency: 1, ReplyTimeMS: 1, ReplyMemoryBytes: 1, Weight: 1})
	return config.Change{ChangeID: "large" + org, Object: "contract/" + org, Value: value}
}
