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

// The course: entries join, one dies, one is cut off, and at last all load
// comes to one entry.
const (
	courseEntries = 5
	courseLoad    = 1.5
	courseSlots   = 1000
	joinAt        = 20 * time.Second
	killAt        = 40 * time.Second
	cutAt         = 60 * time.Second
	healAt        = 80 * time.Second
	busyAt        = 100 * time.Second
	courseEnd     = 130 * time.Second
	noticeAfter   = 2 * time.Second
	// noticeSpread bounds how much later each entry sees a new entry set, in ticks.
	noticeSpread = 30
	// staleAfter is when an entry that is cut off stops admitting.
	staleAfter = 3 * time.Second
	busyEntry  = 3
)

var courseEnds = []time.Duration{joinAt, killAt, cutAt, healAt, busyAt, courseEnd}

// Split is how entries share a contract.
type Split string

// The product's split and its baselines.
const (
	Lending Split = "lending"
	// Static gives each entry its part.
	Static Split = "static"
	// Local gives each entry the whole contract.
	Local Split = "local"
)

// CourseResult holds the admissions in each tenth of a second.
type CourseResult struct {
	Starts []float64
}

// course is the state of one run. The entry with index i joins, dies or is cut
// off as alive and cut tell.
type course struct {
	split   Split
	now     time.Duration
	pools   []*share.Pool
	statics []*share.Static
	// delays are how much later each entry sees a new entry set.
	delays []time.Duration
	starts []float64
}

// ContractCourse runs the course with 1.5 times the rate of the contract.
func ContractCourse(split Split, seed uint64) CourseResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &course{split: split, starts: make([]float64, courseEnd/creditTick)}
	for i := range courseEntries {
		c.pools = append(c.pools, share.New(fmt.Sprint(i), 0, Epoch))
		c.statics = append(c.statics, nil)
		c.delays = append(c.delays, time.Duration(rng.Int64N(noticeSpread))*creditTick)
	}
	next := time.Duration(0)
	for ; c.now < courseEnd; c.now += creditTick {
		c.update(creditContract(courseSlots))
		c.tick()
		for ; next < c.now+creditTick; next += gap(rng, creditRate*courseLoad) {
			c.offer(c.receiver(rng), next)
		}
	}
	return CourseResult{c.starts}
}

func (c *course) alive(i int) bool {
	return (i < 3 || c.now >= joinAt) && (i != 0 || c.now < killAt)
}

func (c *course) cut(i int) bool { return i == 1 && c.now >= cutAt && c.now < healAt }

// courseSet is the entry set in force at a time.
func courseSet(at time.Duration) []int {
	switch {
	case at < joinAt+noticeAfter:
		return []int{0, 1, 2}
	case at < killAt+noticeAfter:
		return []int{0, 1, 2, 3, 4}
	}
	return []int{1, 2, 3, 4}
}

// update tells entries of changed sets, each at a time of its own within 3 s.
func (c *course) update(contracts map[string]core.Contract) {
	for i := range c.pools {
		was, is := courseSet(c.now-c.delays[i]-creditTick), courseSet(c.now-c.delays[i])
		if c.now > 0 && (!c.alive(i) || len(was) == len(is)) {
			continue
		}
		c.pools[i].Update(contracts, creditEntries(is...), Epoch.Add(c.now))
		c.statics[i] = share.NewStatic(contracts, len(is))
		if c.split == Local {
			c.statics[i] = share.NewStatic(contracts, 1)
		}
	}
}

func (c *course) tick() {
	for i := range c.pools {
		if c.split == Lending && c.alive(i) {
			c.entry(i).tick(Epoch.Add(c.now))
		}
	}
}

// entry returns the i-th entry. Its messages are lost when it or the home is
// unreachable.
func (c *course) entry(i int) lendingEntry {
	return lendingEntry{c.pools[i], func(p *share.Pool, q share.BorrowRequest, now time.Time) {
		home, err := strconv.Atoi(q.Home)
		if err != nil || !c.alive(home) || c.cut(home) != c.cut(i) || c.cut(i) && home != i {
			return
		}
		lend(p, c.pools[home], q, now)
	}}
}

// receiver draws the entry that a request comes to.
func (c *course) receiver(rng *rand.Rand) int {
	i := rng.IntN(courseEntries)
	for !c.alive(i) {
		i = rng.IntN(courseEntries)
	}
	if c.now >= busyAt {
		return busyEntry
	}
	return i
}

// offer counts an admitted request. The offer of an entry that has stopped
// admitting is lost.
func (c *course) offer(i int, at time.Duration) {
	if c.cut(i) && c.now >= cutAt+staleAfter {
		return
	}
	if c.spend(i, Epoch.Add(at)) {
		c.starts[c.now/creditTick]++
	}
}

func (c *course) spend(i int, now time.Time) bool {
	if c.split == Lending {
		return c.entry(i).spend(now)
	}
	_, ok := c.statics[i].Spend(creditOrg, creditAmount, now)
	return ok
}

// Most returns the highest sum of admissions in a window, as a part of what the
// contract permits in it.
func (r CourseResult) Most(window time.Duration) float64 {
	n, sum, most := int(window/creditTick), 0.0, 0.0
	for i, v := range r.Starts {
		sum += v
		if i >= n {
			sum -= r.Starts[i-n]
		}
		most = max(most, sum)
	}
	return most / (creditRate*window.Seconds() + share.Burst(creditContract(courseSlots)[creditOrg]).Requests)
}

// soon returns the seconds from busyAt until the busy entry gets nine tenths of
// the rate for a second, or infinity.
func (r CourseResult) soon() float64 {
	from := int(busyAt / creditTick)
	for i := from + 10; i < len(r.Starts); i++ {
		if total(r.Starts[i-10:i]) >= 0.9*creditRate {
			return float64(i-from-10) * creditTick.Seconds()
		}
	}
	return math.Inf(1)
}

func (r CourseResult) values() []float64 {
	var out []float64
	from := time.Duration(0)
	for _, end := range courseEnds {
		admitted := total(r.Starts[from/creditTick : end/creditTick])
		out = append(out, 100*admitted/(creditRate*(end-from).Seconds()))
		from = end
	}
	return append(out, 100*r.Most(time.Second), 100*r.Most(10*time.Second), r.soon())
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
