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

// configBound is the brief's bound on a configuration change.
const configBound = 5 * time.Second

// sample is what one process said of its configuration.
type sample struct {
	proc      string
	starts    int64
	asked     time.Time
	next      int64
	hash      string
	confirmed bool
}

// acceptance is a change that an operator was told to be accepted.
type acceptance struct {
	object  string
	version int64
	at      time.Time
}

// observer asks every process again and again for its configuration.
type observer struct {
	c        *cluster
	mu       sync.Mutex
	samples  []sample
	accepted []acceptance
	stop     chan struct{}
	wg       sync.WaitGroup
}

func (c *cluster) observe() *observer {
	o := &observer{c: c, stop: make(chan struct{})}
	for _, p := range c.procs() {
		o.wg.Add(1)
		go func() { defer o.wg.Done(); o.follow(p) }()
	}
	return o
}

func (o *observer) follow(p *proc) {
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

// sample asks one process. It reports false without an answer of one
// incarnation.
func (c *cluster) sample(p *proc) (sample, bool) {
	var a struct {
		Configuration struct {
			NextOffset int64  `json:"next_offset"`
			StateHash  string `json:"state_hash"`
			Confirmed  bool   `json:"confirmed"`
		} `json:"configuration"`
	}
	s := sample{proc: p.id, starts: p.starts.Load(), asked: time.Now()}
	if c.call(p, http.MethodGet, "/status", nil, &a) != http.StatusOK || p.starts.Load() != s.starts {
		return s, false
	}
	s.next, s.hash, s.confirmed = a.Configuration.NextOffset, a.Configuration.StateHash, a.Configuration.Confirmed
	return s, true
}

func (o *observer) accept(object string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, acceptance{object: object, version: version, at: time.Now()})
}

// end stops asking and checks all samples.
func (o *observer) end(t *testing.T) {
	t.Helper()
	close(o.stop)
	o.wg.Wait()
	if err := checkInForce(o.samples, o.accepted, configBound); err != nil {
		t.Error(err)
	}
	t.Logf("%d samples, %d accepted changes", len(o.samples), len(o.accepted))
}

// checkInForce reports a process that took new work without an accepted change
// later than bound after it was accepted, a position that went back, and two
// states at one position.
func checkInForce(samples []sample, accepted []acceptance, bound time.Duration) error {
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].asked.Before(samples[j].asked) })
	sort.SliceStable(accepted, func(i, j int) bool { return accepted[i].at.Before(accepted[j].at) })
	last := map[string]sample{}
	states := map[int64]string{}
	due := acceptance{version: -1}
	for _, s := range samples {
		if l, ok := last[s.proc]; ok && l.starts == s.starts && s.next < l.next {
			return fmt.Errorf("%s went back from offset %d to %d", s.proc, l.next, s.next)
		}
		last[s.proc] = s
		if h, ok := states[s.next]; ok && h != s.hash {
			return fmt.Errorf("%s holds state %s at offset %d, another process holds %s", s.proc, s.hash, s.next, h)
		}
		states[s.next] = s.hash
		for len(accepted) > 0 && s.asked.Sub(accepted[0].at) > bound {
			if accepted[0].version > due.version {
				due = accepted[0]
			}
			accepted = accepted[1:]
		}
		if s.confirmed && s.next <= due.version {
			return fmt.Errorf("%s takes work at offset %d, without %s at version %d, %v after it was accepted",
				s.proc, s.next, due.object, due.version, s.asked.Sub(due.at).Round(time.Millisecond))
		}
	}
	return nil
}

// racer is one operator with what became of its changes.
type racer struct {
	c      *cluster
	o      *observer
	object string
	client int
	ops    []porcupine.Operation
	open   map[string]int
	absent []string
	losers map[string]string
}

type published struct {
	config.Outcome
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
	Lost config.Outcome `json:"outcome"`
}

// race changes one object through one entry until stop.
func (r *racer) race(e *proc, stop <-chan struct{}) {
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
		var a published
		code := r.c.call(e, http.MethodPut, "/objects/"+r.object, map[string]any{"based_on": in.basedOn, "change_id": id, "value": value}, &a)
		op := porcupine.Operation{ClientId: r.client, Input: in, Call: call.UnixNano(), Return: time.Now().UnixNano()}
		switch {
		case code == http.StatusOK:
			op.Output = configOutput{accepted: true, version: a.Version, value: id}
			r.o.accept(r.object, a.Version)
			r.ops = append(r.ops, op)
		case code == http.StatusConflict:
			op.Output = configOutput{}
			r.losers[id] = a.Lost.Winner
			r.ops = append(r.ops, op)
		case code == http.StatusServiceUnavailable && a.Error.Code == "not_published":
			r.absent = append(r.absent, id)
		default:
			op.Return = math.MaxInt64
			r.open[id] = len(r.ops)
			r.ops = append(r.ops, op)
		}
		if code != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// resolve asks what became of the changes without a final answer. A change that
// is not in the log had no effect.
func (r *racer) resolve(t *testing.T, e *proc) []porcupine.Operation {
	t.Helper()
	var ops []porcupine.Operation
	skip := map[int]bool{}
	for id, i := range r.open {
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
	for _, id := range r.absent {
		if code := r.c.call(e, http.MethodGet, "/changes/"+id, nil, &struct{}{}); code != http.StatusNotFound {
			t.Errorf("change %s was answered as not published: got status %d, want 404", id, code)
		}
	}
	for i, op := range r.ops {
		if !skip[i] {
			ops = append(ops, op)
		}
	}
	return ops
}

// Guards against accepted changes that are not in force everywhere in time or
// are lost again, against two winners of a race and against losers that are not
// told the winner, while processes and links fail and answers of appends are
// lost.
func TestAcceptedConfigurationIsInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, desks: 2})
	c.waitConfigured()
	o := c.observe()
	eachPhase(t, func(seed uint64, r *rand.Rand) {
		stop, injected := make(chan struct{}), make(chan struct{})
		go func() { defer close(injected); injectFaults(t, c, r, commonFaults(), stop) }()
		racers := make([]*racer, len(c.entries))
		var wg sync.WaitGroup
		for i, e := range c.entries {
			racers[i] = &racer{c: c, o: o, object: fmt.Sprintf("contract/race-%d", seed), client: i, open: map[string]int{}, losers: map[string]string{}}
			wg.Add(1)
			go func() { defer wg.Done(); racers[i].race(e, stop) }()
		}
		time.Sleep(phaseFaultDuration)
		close(stop)
		<-injected
		wg.Wait()
		for _, p := range c.procs() {
			eventually(t, p.id+" is ready again", p.ready)
		}
		c.sameState(t)
		checkRace(t, racers, c.entries[0])
	})
	o.end(t)
}

// sameState waits until all processes hold the same state.
func (c *cluster) sameState(t *testing.T) {
	t.Helper()
	eventually(t, "all processes hold the same state", func() bool {
		first, ok := c.sample(c.entries[0])
		for _, p := range c.procs() {
			s, answered := c.sample(p)
			ok = ok && answered && s.next == first.next && s.hash == first.hash
		}
		return ok
	})
}

// checkRace checks the history of one object.
func checkRace(t *testing.T, racers []*racer, e *proc) {
	t.Helper()
	var ops []porcupine.Operation
	won := map[string]bool{}
	for _, r := range racers {
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
		t.Error("answers to operators do not fit one register")
	}
	lost := 0
	for _, r := range racers {
		for id, winner := range r.losers {
			lost++
			if !won[winner] {
				t.Errorf("change %s lost to %q, which was not accepted", id, winner)
			}
		}
	}
	t.Logf("%d operations, %d accepted, %d told that they lost", len(ops), accepted, lost)
	if accepted == 0 || lost == 0 {
		t.Errorf("got %d accepted and %d lost, want some of both", accepted, lost)
	}
}

// Guards against a process that takes work without an accepted change because
// it is cut off from everything or from the log, starts during an outage of the log or starts
// after the records have expired.
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
	time.Sleep(configBound + time.Second)
	for _, l := range c.links {
		l.heal()
	}
	for _, id := range []string{"entry-2", "desk-1"} {
		c.links[id+">log"].cut()
	}
	c.publishContract(o, c.entries[0], "contract/far", 1)
	c.publishContract(o, c.entries[2], "contract/far", 2)
	time.Sleep(configBound + time.Second)
	if got := c.version(c.entries[1], "contract/far"); got != c.version(c.entries[0], "contract/far") {
		t.Errorf("version at an entry cut off from the log: got %d, want that of the others", got)
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
	c.sameState(t)
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
	c.sameState(t)
	if c.version(c.entries[1], "contract/far") == 0 {
		t.Error("a contract was lost with its expired record")
	}
	o.end(t)
}
