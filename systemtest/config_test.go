package systemtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nutmegnotch/core/config"
	"nutmegnotch/emulator/platformlog"
)

// maxConfigDelay is the longest time after which an accepted configuration
// change must be in force everywhere.
const maxConfigDelay = 5 * time.Second

// configSample is the configuration that one process reported at one time.
type configSample struct {
	proc       string
	starts     int64
	sampledAt  time.Time
	nextOffset int64
	hash       string
	confirmed  bool
}

// acceptedChange is a change whose acceptance was reported to its operator.
type acceptedChange struct {
	object  string
	version int64
	at      time.Time
}

// observer polls the configuration of every process.
type observer struct {
	c        *cluster
	mu       sync.Mutex
	samples  []configSample
	accepted []acceptedChange
	stop     chan struct{}
	wg       sync.WaitGroup
}

// observe starts an observer of all processes of the cluster.
func (c *cluster) observe() *observer {
	o := &observer{c: c, stop: make(chan struct{})}
	for _, p := range c.procs() {
		o.wg.Add(1)
		go func() { defer o.wg.Done(); o.poll(p) }()
	}
	return o
}

func (o *observer) poll(p *proc) {
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if s, ok := o.c.sample(p); ok {
			o.mu.Lock()
			o.samples = append(o.samples, s)
			o.mu.Unlock()
		}
	}
}

// sample reads the configuration of one process. It returns false when there is
// no response or when the process was restarted meanwhile.
func (c *cluster) sample(p *proc) (configSample, bool) {
	var a struct {
		Configuration struct {
			NextOffset int64  `json:"next_offset"`
			StateHash  string `json:"state_hash"`
			Confirmed  bool   `json:"confirmed"`
		} `json:"configuration"`
	}
	s := configSample{proc: p.id, starts: p.starts.Load(), sampledAt: time.Now()}
	if c.call(p, http.MethodGet, "/status", nil, &a) != http.StatusOK || p.starts.Load() != s.starts {
		return s, false
	}
	s.nextOffset, s.hash, s.confirmed = a.Configuration.NextOffset, a.Configuration.StateHash, a.Configuration.Confirmed
	return s, true
}

func (o *observer) accept(object string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, acceptedChange{object: object, version: version, at: time.Now()})
}

// stopAndCheck stops the observer and checks all samples.
func (o *observer) stopAndCheck(t *testing.T) {
	t.Helper()
	close(o.stop)
	o.wg.Wait()
	if err := checkInForce(o.samples, o.accepted, maxConfigDelay); err != nil {
		t.Error(err)
	}
	t.Logf("%d samples, %d accepted changes", len(o.samples), len(o.accepted))
}

// checkInForce returns an error for a process that accepts work without a change
// more than bound after its acceptance, for an offset that decreases, and for two
// different states at one offset.
func checkInForce(samples []configSample, accepted []acceptedChange, bound time.Duration) error {
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].sampledAt.Before(samples[j].sampledAt) })
	sort.SliceStable(accepted, func(i, j int) bool { return accepted[i].at.Before(accepted[j].at) })
	last := map[string]configSample{}
	states := map[int64]string{}
	due := acceptedChange{version: -1}
	for _, s := range samples {
		if l, ok := last[s.proc]; ok && l.starts == s.starts && s.nextOffset < l.nextOffset {
			return fmt.Errorf("%s went back from offset %d to %d", s.proc, l.nextOffset, s.nextOffset)
		}
		last[s.proc] = s
		if h, ok := states[s.nextOffset]; ok && h != s.hash {
			return fmt.Errorf("%s has state %s at offset %d, another process has %s", s.proc, s.hash, s.nextOffset, h)
		}
		states[s.nextOffset] = s.hash
		for len(accepted) > 0 && s.sampledAt.Sub(accepted[0].at) > bound {
			if accepted[0].version > due.version {
				due = accepted[0]
			}
			accepted = accepted[1:]
		}
		if s.confirmed && s.nextOffset <= due.version {
			return fmt.Errorf("%s accepts work at offset %d, without %s at version %d, %v after its acceptance",
				s.proc, s.nextOffset, due.object, due.version, s.sampledAt.Sub(due.at).Round(time.Millisecond))
		}
	}
	return nil
}

// operator publishes changes of one object concurrently with other operators and
// records their outcomes.
type operator struct {
	c            *cluster
	o            *observer
	object       string
	client       int
	ops          []porcupine.Operation
	unresolved   map[string]int
	notPublished []string
	winnerOf     map[string]string
}

// publishResponse is the response to a published change.
type publishResponse struct {
	config.Outcome
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
	Lost config.Outcome `json:"outcome"`
}

// publishUntil publishes changes of the object through one entry until stop is
// closed.
func (r *operator) publishUntil(e *proc, stop <-chan struct{}) {
	_, name, _ := strings.Cut(r.object, "/")
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", name, r.client, n)
		value := testContract(name, r.client*10000+n)
		in := configInput{write: true, basedOn: r.c.version(e, r.object), value: id}
		call := time.Now()
		var a publishResponse
		code := r.c.call(e, http.MethodPut, "/objects/"+r.object, map[string]any{"based_on": in.basedOn, "change_id": id, "value": value}, &a)
		op := porcupine.Operation{ClientId: r.client, Input: in, Call: call.UnixNano(), Return: time.Now().UnixNano()}
		switch {
		case code == http.StatusOK:
			op.Output = configOutput{accepted: true, version: a.Version, value: id}
			r.o.accept(r.object, a.Version)
			r.ops = append(r.ops, op)
		case code == http.StatusConflict:
			op.Output = configOutput{}
			r.winnerOf[id] = a.Lost.Winner
			r.ops = append(r.ops, op)
		case code == http.StatusServiceUnavailable && a.Error.Code == "not_published":
			r.notPublished = append(r.notPublished, id)
		default:
			op.Return = math.MaxInt64
			r.unresolved[id] = len(r.ops)
			r.ops = append(r.ops, op)
		}
		if code != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// resolve looks up the outcomes of changes whose response was not final, and
// returns all operations. A change that is not in the log had no effect and is
// left out.
func (r *operator) resolve(t *testing.T, e *proc) []porcupine.Operation {
	t.Helper()
	var ops []porcupine.Operation
	skip := map[int]bool{}
	for id, i := range r.unresolved {
		var o config.Outcome
		code := r.c.call(e, http.MethodGet, "/changes/"+id, nil, &o)
		switch {
		case code == http.StatusNotFound:
			skip[i] = true
		case code == http.StatusOK && o.Result != config.Unknown:
			r.ops[i].Output = configOutput{accepted: o.Result == config.Accepted, version: o.Version, value: id}
		default:
			t.Errorf("change %s: got status %d and result %q, want a final outcome", id, code, o.Result)
			skip[i] = true
		}
	}
	for _, id := range r.notPublished {
		if code := r.c.call(e, http.MethodGet, "/changes/"+id, nil, &struct{}{}); code != http.StatusNotFound {
			t.Errorf("change %s was reported as not published: got status %d, want 404", id, code)
		}
	}
	for i, op := range r.ops {
		if !skip[i] {
			ops = append(ops, op)
		}
	}
	return ops
}

// Guards against accepted changes that are lost or not in force everywhere in
// time, against two accepted changes based on one version, and against rejected
// changes whose operator does not learn which change was accepted instead.
// Processes and links fail and responses to appends are lost meanwhile.
func TestAcceptedConfigurationIsInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, desks: 2})
	c.waitConfigured()
	o := c.observe()
	eachPhase(t, func(seed uint64, r *rand.Rand) {
		stop, injected := make(chan struct{}), make(chan struct{})
		go func() { defer close(injected); injectFaults(t, c, r, commonFaults(), stop) }()
		operators := make([]*operator, len(c.entries))
		var wg sync.WaitGroup
		for i, e := range c.entries {
			operators[i] = &operator{c: c, o: o, object: fmt.Sprintf("contract/race-%d", seed), client: i, unresolved: map[string]int{}, winnerOf: map[string]string{}}
			wg.Add(1)
			go func() { defer wg.Done(); operators[i].publishUntil(e, stop) }()
		}
		time.Sleep(phaseFaultDuration)
		close(stop)
		<-injected
		wg.Wait()
		for _, p := range c.procs() {
			eventually(t, p.id+" is ready again", p.ready)
		}
		c.waitSameState(t)
		checkOperators(t, operators, c.entries[0])
	})
	o.stopAndCheck(t)
}

// waitSameState waits until all processes have the same configuration state.
func (c *cluster) waitSameState(t *testing.T) {
	t.Helper()
	eventually(t, "all processes have the same state", func() bool {
		first, ok := c.sample(c.entries[0])
		for _, p := range c.procs() {
			s, responded := c.sample(p)
			ok = ok && responded && s.nextOffset == first.nextOffset && s.hash == first.hash
		}
		return ok
	})
}

// checkOperators checks the operations of all operators of one object.
func checkOperators(t *testing.T, operators []*operator, e *proc) {
	t.Helper()
	var ops []porcupine.Operation
	won := map[string]bool{}
	for _, r := range operators {
		ops = append(ops, r.resolve(t, e)...)
	}
	accepted := 0
	for _, op := range ops {
		if out := op.Output.(configOutput); out.accepted {
			won[out.value] = true
			accepted++
		}
	}
	if !linearizable(configModel, ops) {
		t.Error("operations on the object are not linearizable")
	}
	lost := 0
	for _, r := range operators {
		for id, winner := range r.winnerOf {
			lost++
			if !won[winner] {
				t.Errorf("change %s was rejected in favour of %q, which was not accepted", id, winner)
			}
		}
	}
	t.Logf("%d operations, %d accepted, %d rejected", len(ops), accepted, lost)
	if accepted == 0 || lost == 0 {
		t.Errorf("got %d accepted and %d rejected changes, want some of both", accepted, lost)
	}
}

// Guards against a process that accepts work without an accepted change because
// it is isolated from all others or from the log, starts during a log outage, or
// starts after the records have expired.
func TestConfigurationWithoutTheLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, desks: 2, retention: 12 * time.Second})
	c.waitConfigured()
	o := c.observe()
	for _, id := range []string{"entry-2", "desk-1"} {
		for _, l := range c.linksOf(id) {
			l.cut()
		}
	}
	c.publishContract(o, c.entries[0], "contract/far", 0)
	time.Sleep(maxConfigDelay + time.Second)
	for _, l := range c.links {
		l.heal()
	}
	for _, id := range []string{"entry-2", "desk-1"} {
		c.links[id+">log"].cut()
	}
	c.publishContract(o, c.entries[0], "contract/far", 1)
	c.publishContract(o, c.entries[2], "contract/far", 2)
	time.Sleep(maxConfigDelay + time.Second)
	if got := c.version(c.entries[1], "contract/far"); got != c.version(c.entries[0], "contract/far") {
		t.Errorf("version at an entry without access to the log: got %d, want that of the others", got)
	}
	c.links["entry-2>log"].heal()
	c.links["desk-1>log"].heal()

	c.log.SetFaults(platformlog.Faults{Outage: platformlog.OutageHang})
	for _, p := range []*proc{c.entries[1], c.desks[0].agent} {
		p.kill()
		p.start()
	}
	for _, p := range []*proc{c.entries[1], c.desks[0].agent} {
		eventually(t, p.id+" is ready during the outage of the log", p.ready)
	}
	c.waitSameState(t)
	c.log.SetFaults(platformlog.Faults{})

	first := c.waitCheckpoint(t, c.version(c.entries[0], "contract/far"))
	for _, p := range c.procs() {
		p.kill()
	}
	c.log.SetFaults(platformlog.Faults{ExpireBefore: first})
	for _, p := range c.procs() {
		p.start()
	}
	for _, p := range c.procs() {
		eventually(t, p.id+" is ready after the records have expired", p.ready)
	}
	c.waitSameState(t)
	if c.version(c.entries[1], "contract/far") == 0 {
		t.Error("a contract was lost with its expired record")
	}
	o.stopAndCheck(t)
}
