package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// The events of a run: two entries join, entry 0 crashes, entry 1 is partitioned from
// the others for a time, and at last one entry receives all requests.
const (
	courseEntries = 5
	courseLoad    = 1.5
	courseSlots   = 1000
	joinAt        = 20 * time.Second
	killAt        = 40 * time.Second
	partitionAt   = 60 * time.Second
	healAt        = 80 * time.Second
	hotspotAt     = 100 * time.Second
	courseEnd     = 130 * time.Second
	entrySetDelay = 2 * time.Second
	// maxEntrySetJitterTicks bounds the additional delay after which an entry sees a
	// new entry set.
	maxEntrySetJitterTicks = 30
	// staleTimeout is the time after which a partitioned entry stops admitting.
	staleTimeout = 3 * time.Second
	hotspotEntry = 3
)

var coursePhaseEnds = []time.Duration{joinAt, killAt, partitionAt, healAt, hotspotAt, courseEnd}

// Split is the way in which entries share a contract.
type Split string

// Splits. Lending is that of the load balancer; the others are baselines.
const (
	// Lending lets entries borrow credit from the homes of the contract.
	Lending Split = "lending"
	// Static gives each entry an equal part.
	Static Split = "static"
	// Local gives each entry the whole contract.
	Local Split = "local"
)

// CourseResult holds the number of admissions in each tick of 0.1 s.
type CourseResult struct {
	Admissions []float64
}

// courseRun is the state of one run.
type courseRun struct {
	split   Split
	now     time.Duration
	pools   []*share.Pool
	statics []*share.Static
	// delays are the additional delays after which each entry sees a new entry set.
	delays     []time.Duration
	admissions []float64
}

// ContractCourse simulates the events at 1.5 times the rate of the contract.
func ContractCourse(split Split, seed uint64) CourseResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &courseRun{split: split, admissions: make([]float64, courseEnd/creditTickInterval)}
	for i := range courseEntries {
		c.pools = append(c.pools, share.New(fmt.Sprint(i), 0, Epoch))
		c.statics = append(c.statics, nil)
		c.delays = append(c.delays, time.Duration(rng.Int64N(maxEntrySetJitterTicks))*creditTickInterval)
	}
	next := time.Duration(0)
	for ; c.now < courseEnd; c.now += creditTickInterval {
		c.updateEntrySets(creditContract(courseSlots))
		c.tick()
		for ; next < c.now+creditTickInterval; next += interarrivalTime(rng, creditRate*courseLoad) {
			c.offer(c.drawEntry(rng), next)
		}
	}
	return CourseResult{c.admissions}
}

// alive reports whether entry i has joined and has not crashed.
func (c *courseRun) alive(i int) bool {
	return (i < 3 || c.now >= joinAt) && (i != 0 || c.now < killAt)
}

// partitioned reports whether entry i cannot reach the other entries.
func (c *courseRun) partitioned(i int) bool { return i == 1 && c.now >= partitionAt && c.now < healAt }

// entriesAt returns the indexes of the entries in the entry set at a time.
func entriesAt(at time.Duration) []int {
	switch {
	case at < joinAt+entrySetDelay:
		return []int{0, 1, 2}
	case at < killAt+entrySetDelay:
		return []int{0, 1, 2, 3, 4}
	}
	return []int{1, 2, 3, 4}
}

// updateEntrySets applies changed entry sets. Each entry sees a change after its own
// delay of less than 3 s.
func (c *courseRun) updateEntrySets(contracts map[string]core.Contract) {
	for i := range c.pools {
		was, is := entriesAt(c.now-c.delays[i]-creditTickInterval), entriesAt(c.now-c.delays[i])
		if c.now > 0 && (!c.alive(i) || len(was) == len(is)) {
			continue
		}
		c.pools[i].Update(contracts, entrySet(is...), Epoch.Add(c.now))
		c.statics[i] = share.NewStatic(contracts, len(is))
		if c.split == Local {
			c.statics[i] = share.NewStatic(contracts, 1)
		}
	}
}

func (c *courseRun) tick() {
	for i := range c.pools {
		if c.split == Lending && c.alive(i) {
			c.entry(i).tick(Epoch.Add(c.now))
		}
	}
}

// entry returns the i-th entry. Its messages to a home are lost if the home has
// crashed or a partition separates them.
func (c *courseRun) entry(i int) creditEntry {
	return creditEntry{c.pools[i], func(p *share.Pool, q share.BorrowRequest, now time.Time) {
		home, err := strconv.Atoi(q.Home)
		if err != nil || !c.alive(home) || c.partitioned(home) != c.partitioned(i) || c.partitioned(i) && home != i {
			return
		}
		lend(p, c.pools[home], q, now)
	}}
}

// drawEntry draws the entry that receives a request.
func (c *courseRun) drawEntry(rng *rand.Rand) int {
	i := rng.IntN(courseEntries)
	for !c.alive(i) {
		i = rng.IntN(courseEntries)
	}
	if c.now >= hotspotAt {
		return hotspotEntry
	}
	return i
}

// offer offers a request to entry i and counts it if it is admitted. An entry that
// has been partitioned for longer than staleTimeout admits nothing.
func (c *courseRun) offer(i int, at time.Duration) {
	if c.partitioned(i) && c.now >= partitionAt+staleTimeout {
		return
	}
	if c.spend(i, Epoch.Add(at)) {
		c.admissions[c.now/creditTickInterval]++
	}
}

func (c *courseRun) spend(i int, now time.Time) bool {
	if c.split == Lending {
		return c.entry(i).spend(now)
	}
	_, ok := c.statics[i].Spend(creditOrg, creditAmount, now)
	return ok
}

// PeakAdmitted returns the maximum number of admissions in any window of the given
// length, divided by what the contract permits in it: the rate and one burst.
func (r CourseResult) PeakAdmitted(window time.Duration) float64 {
	n, sum, peak := int(window/creditTickInterval), 0.0, 0.0
	for i, v := range r.Admissions {
		sum += v
		if i >= n {
			sum -= r.Admissions[i-n]
		}
		peak = max(peak, sum)
	}
	return peak / (creditRate*window.Seconds() + share.Burst(creditContract(courseSlots)[creditOrg]).Requests)
}

// rampUpSeconds returns the time from hotspotAt until the entry that receives all
// requests starts to admit 90 % of the rate over a second, or infinity if it never
// does.
func (r CourseResult) rampUpSeconds() float64 {
	from := int(hotspotAt / creditTickInterval)
	for i := from + 10; i < len(r.Admissions); i++ {
		if total(r.Admissions[i-10:i]) >= 0.9*creditRate {
			return float64(i-from-10) * creditTickInterval.Seconds()
		}
	}
	return math.Inf(1)
}

func (r CourseResult) values() []float64 {
	var out []float64
	from := time.Duration(0)
	for _, end := range coursePhaseEnds {
		admitted := total(r.Admissions[from/creditTickInterval : end/creditTickInterval])
		out = append(out, 100*admitted/(creditRate*(end-from).Seconds()))
		from = end
	}
	return append(out, 100*r.PeakAdmitted(time.Second), 100*r.PeakAdmitted(10*time.Second), r.rampUpSeconds())
}

// total returns the sum of x.
func total(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum
}

func contractCourse() Experiment {
	return Experiment{
		Name:  "contract-course",
		About: "Admitted part of a contract of 200 requests/s while entries join, die and are cut off, offered 300/s.",
		Columns: []string{"3 entries, %", "5 entries, %", "one dies, %", "one is cut off, %", "healed, %", "all load at one, %",
			"most in 1 s, % of bound", "most in 10 s, % of bound", "one entry has 90 % after, s"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, split := range []Split{Lending, Static, Local} {
				rows = append(rows, Row{string(split), ContractCourse(split, seed).values()})
			}
			return rows
		},
	}
}
