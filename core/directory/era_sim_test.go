package directory_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// storeModel is a store with an operator and servers that write to it, and directories
// that read it.
type storeModel struct {
	t   *rapid.T
	now time.Time
	era int64
	// logs holds the records of both topics, with the number of the write.
	logs   [2][]write
	writes int
	// truth holds what was last written for each key.
	truth [2]map[string]string
	// lost holds the keys that have to be written again, until restoredAt +
	// directory.SettlePeriod/2.
	lost       [2][]string
	restoredAt time.Time
	numbers    map[string]int
	// domains are those that were ever drained, each once.
	domains []string
	views   []*view
}

type write struct {
	key, value string
	number     int
}

// view is a directory with the answers that are on their way to it.
type view struct {
	d *directory.Directory
	// late holds answers of the store that have not arrived.
	late []answer
	// version, left, drained and removed are what it has shown: the highest version, the
	// processes that leave, the drained domains, and the report numbers of processes that
	// were removed.
	version int64
	left    map[string]bool
	drained map[string]bool
	removed map[string]int64
	listed  map[string]int64
}

func newView() *view {
	return &view{d: directory.New(decoder{}), left: map[string]bool{}, drained: map[string]bool{}, removed: map[string]int64{}, listed: map[string]int64{}}
}

// version returns the version of a directory's deployment, or 0.
func version(d *directory.Directory) int64 {
	if d.Deployment() == nil {
		return 0
	}
	return d.Deployment().Version
}

type answer struct {
	topic core.Topic
	b     core.KeyedBatch
	full  bool
	// begun is when the read of the store began; zero for an answer of a peer.
	begun time.Time
}

func (m *storeModel) write(topic int, key, value string) {
	m.writes++
	m.logs[topic] = append(m.logs[topic], write{key, value, m.writes})
	m.truth[topic][key] = value
}

func (m *storeModel) report(id, state string) {
	m.numbers[id]++
	m.write(int(core.TopicServers), id, fmt.Sprintf("%s 10.0.0.%s:1 1 %d", state, id[1:], m.numbers[id]))
}

// restore goes back to the state after a number of writes.
func (m *storeModel) restore(number int) {
	m.era++
	m.restoredAt = m.now
	for topic := range m.logs {
		end := slices.IndexFunc(m.logs[topic], func(w write) bool { return w.number > number })
		if end < 0 {
			continue
		}
		for _, w := range m.logs[topic][end:] {
			if !slices.Contains(m.lost[topic], w.key) {
				m.lost[topic] = append(m.lost[topic], w.key)
			}
		}
		m.logs[topic] = m.logs[topic][:end]
	}
}

func (m *storeModel) read(topic core.Topic, from core.Position, all bool) answer {
	log := m.logs[topic]
	a := answer{topic: topic, full: all, begun: m.now, b: core.KeyedBatch{Next: core.Position{Era: m.era, Offset: int64(len(log))}}}
	newest := map[string]int{}
	for i, w := range log {
		newest[w.key] = i
	}
	for i, w := range log {
		if all && (newest[w.key] != i || w.value == "") || !all && int64(i) < from.Offset {
			continue
		}
		a.b.Records = append(a.b.Records, at(w.key, w.value, m.era, int64(i)))
	}
	return a
}

func (m *storeModel) apply(v *view, a answer) {
	var err error
	if a.full {
		_, err = v.d.Replace(a.topic, a.b, m.now)
	} else {
		_, err = v.d.Append(a.topic, a.b, m.now)
	}
	if err != nil {
		m.t.Fatalf("apply: %v", err)
	}
	if !a.begun.IsZero() {
		v.d.Settle(a.topic, a.begun, m.now)
	}
}

// ask makes a directory read a topic as a gateway does.
func (m *storeModel) ask(v *view, topic core.Topic) answer {
	next := v.d.Next(topic)
	return m.read(topic, next, next.Era != m.era || next.Offset == 0)
}

// check checks that a view has not gone back.
func (m *storeModel) check(v *view) {
	d := v.d
	if dep := d.Deployment(); dep != nil {
		if dep.Version < v.version {
			m.t.Fatalf("version: got %d after %d", dep.Version, v.version)
		}
		v.version = dep.Version
	}
	listed := map[string]int64{}
	for _, s := range d.Servers() {
		listed[s.ID] = s.ReportNumber
		if s.State == core.BackendLeaving {
			v.left[s.ID] = true
		}
		if s.Usable && v.left[s.ID] {
			m.t.Fatalf("server %s is usable after it was known to leave", s.ID)
		}
		if n, ok := v.removed[s.ID]; ok && s.ReportNumber <= n {
			m.t.Fatalf("server %s is back with report %d, it was removed after report %d", s.ID, s.ReportNumber, n)
		}
	}
	for id, n := range v.listed {
		if _, ok := listed[id]; !ok {
			v.removed[id] = n
		}
	}
	v.listed = listed
	for _, domain := range m.domains {
		if d.Drained(domain) {
			v.drained[domain] = true
		} else if v.drained[domain] && m.truth[core.TopicOperator]["out/"+domain] != "" {
			m.t.Fatalf("failure domain %s is no longer drained, although nobody took that back", domain)
		}
	}
}

// Guards against state that goes back, or never agrees again, when the store comes back
// from copies while answers are late and gateways learn from each other.
func TestErasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{t: t, now: now, era: 1, truth: [2]map[string]string{{}, {}}, numbers: map[string]int{}}
		for range 2 {
			m.views = append(m.views, newView())
		}
		published := 0
		servers := []string{"s1", "s2", "s3"}
		pick := func() *view { return m.views[rapid.IntRange(0, 1).Draw(t, "view")] }
		topic := func() core.Topic { return core.Topic(rapid.IntRange(0, 1).Draw(t, "topic")) }
		state := func(id string) string { s, _, _ := strings.Cut(m.truth[core.TopicServers][id], " "); return s }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				published++
				m.write(int(core.TopicOperator), "config", strconv.Itoa(published))
			},
			"drain": func(*rapid.T) {
				m.domains = append(m.domains, fmt.Sprintf("z%d", 10+len(m.domains)))
				m.write(int(core.TopicOperator), "out/"+m.domains[len(m.domains)-1], "{}")
			},
			"take back": func(t *rapid.T) {
				if len(m.domains) > 0 {
					m.write(int(core.TopicOperator), "out/"+rapid.SampledFrom(m.domains).Draw(t, "domain"), "")
				}
			},
			"report": func(t *rapid.T) {
				id := rapid.SampledFrom(servers).Draw(t, "server")
				if s := state(id); s == "ready" || m.numbers[id] == 0 {
					m.report(id, "ready")
				}
			},
			"leave": func(t *rapid.T) {
				if id := rapid.SampledFrom(servers).Draw(t, "server"); state(id) == "ready" {
					m.report(id, "leaving")
				}
			},
			"remove": func(t *rapid.T) {
				if id := rapid.SampledFrom(servers).Draw(t, "server"); state(id) != "" {
					m.write(int(core.TopicServers), id, "")
				}
			},
			"restore": func(t *rapid.T) {
				if len(m.lost[0])+len(m.lost[1]) == 0 {
					m.restore(rapid.IntRange(0, m.writes).Draw(t, "writes"))
				}
			},
			"write again": func(t *rapid.T) {
				k := topic()
				if len(m.lost[k]) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.lost[k])-1).Draw(t, "key")
				m.write(int(k), m.lost[k][i], m.truth[k][m.lost[k][i]])
				m.lost[k] = slices.Delete(m.lost[k], i, i+1)
			},
			"time": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				if len(m.lost[0])+len(m.lost[1]) > 0 && m.now.Add(d).After(m.restoredAt.Add(directory.SettlePeriod/2)) {
					return
				}
				m.now = m.now.Add(d)
			},
			"restart": func(t *rapid.T) { m.views[rapid.IntRange(0, 1).Draw(t, "view")] = newView() },
			"read":    func(*rapid.T) { v, k := pick(), topic(); m.apply(v, m.ask(v, k)) },
			"ask":     func(*rapid.T) { v, k := pick(), topic(); v.late = append(v.late, m.ask(v, k)) },
			"reads":   func(*rapid.T) { v, k := pick(), topic(); m.apply(v, m.read(k, core.Position{}, true)) },
			"arrive": func(t *rapid.T) {
				v := pick()
				if len(v.late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(v.late)-1).Draw(t, "answer")
				m.apply(v, v.late[i])
				v.late = slices.Delete(v.late, i, i+1)
			},
			"pull": func(*rapid.T) {
				k := topic()
				to, from := m.views[0], m.views[1]
				if rapid.Bool().Draw(t, "other way") {
					to, from = from, to
				}
				newer := k == core.TopicOperator && version(from.d) > version(to.d)
				if to.d.Next(k).Before(from.d.Next(k)) || newer {
					b, full := from.d.Since(k, to.d.Next(k))
					if newer {
						b.Records = append(b.Records, from.d.DeploymentRecord())
					}
					m.apply(to, answer{topic: k, b: b, full: full})
					if k == core.TopicOperator && to.d.Next(k).Era == from.d.Next(k).Era && version(to.d) < version(from.d) {
						t.Fatalf("version after a pull: got %d, the peer has %d", version(to.d), version(from.d))
					}
				}
			},
			"": func(*rapid.T) {
				for _, v := range m.views {
					v.d.Expire(m.now)
					m.check(v)
				}
			},
		})
		m.settle(servers, state)
	})
}

// settle lets the operator and the servers write what is lost, and checks that all
// directories agree with what was written.
func (m *storeModel) settle(servers []string, state func(string) string) {
	for k := range m.lost {
		for _, key := range m.lost[k] {
			m.write(k, key, m.truth[k][key])
		}
	}
	var ready []string
	for _, id := range servers {
		if state(id) == "ready" {
			m.report(id, "ready")
			ready = append(ready, id)
		}
	}
	for range 2 {
		for _, v := range m.views {
			for k := range m.logs {
				m.apply(v, m.ask(v, core.Topic(k)))
			}
		}
		m.now = m.now.Add(directory.SettlePeriod)
	}
	for _, v := range m.views {
		for k := range m.logs {
			m.apply(v, m.ask(v, core.Topic(k)))
		}
	}
	for i, v := range m.views {
		v.d.Expire(m.now)
		m.check(v)
		if got, want := usable(v.d), strings.Join(ready, " "); got != want {
			m.t.Fatalf("servers at directory %d: got %q, want %q", i, got, want)
		}
		for _, domain := range m.domains {
			if got, want := v.d.Drained(domain), m.truth[core.TopicOperator]["out/"+domain] != ""; got != want {
				m.t.Fatalf("%s drained at directory %d: got %t, want %t", domain, i, got, want)
			}
		}
		if want := m.truth[core.TopicOperator]["config"]; want != "" && strconv.FormatInt(v.d.Deployment().Version, 10) != want {
			m.t.Fatalf("version at directory %d: got %d, want %s", i, v.d.Deployment().Version, want)
		}
	}
}
