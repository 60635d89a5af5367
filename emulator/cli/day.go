package cli

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"nutmegnotch/emulator/day"
)

// Bounds of the length of a day.
const (
	minDay = 4 * time.Second
	maxDay = 10 * time.Minute
)

// DayCommand plays days of gateways in real time.
type DayCommand struct {
	Seeds  int           `default:"5" help:"Number of days; the first has the seed 1."`
	Length time.Duration `default:"12s" help:"Length of a day."`
	JSON   bool          `name:"json" help:"Print JSON."`
}

// daySummary sums up the days. Times are in milliseconds.
type daySummary struct {
	Days       int      `json:"days"`
	Sent       int      `json:"sent"`
	Served     int      `json:"served"`
	Refused    int      `json:"refused"`
	Failed     int      `json:"failed"`
	Returns    int      `json:"returns"`
	EraP50MS   int64    `json:"era_p50_ms"`
	EraP90MS   int64    `json:"era_p90_ms"`
	EraMaxMS   int64    `json:"era_max_ms"`
	Violations []string `json:"violations"`
}

// Validate rejects numbers out of range.
func (c *DayCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seeds %d is not between 1 and %d", c.Seeds, maxSeeds)
	}
	if c.Length < minDay || c.Length > maxDay {
		return fmt.Errorf("--length %s is not between %s and %s", c.Length, minDay, maxDay)
	}
	return nil
}

// Run plays the days, some of them at the same time. It fails if a rule was broken.
func (c *DayCommand) Run() error {
	seeds := make([]uint64, c.Seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	m := iter.Mapper[uint64, day.Result]{MaxGoroutines: max(1, runtime.GOMAXPROCS(0)/2)}
	results, err := m.MapErr(seeds, func(seed *uint64) (day.Result, error) { return day.Play(*seed, c.Length) })
	if err != nil {
		return fmt.Errorf("play: %w", err)
	}
	s := summarize(results)
	if err := c.print(s); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if len(s.Violations) > 0 {
		return fmt.Errorf("%d violations", len(s.Violations))
	}
	return nil
}

func summarize(results []day.Result) daySummary {
	s := daySummary{Days: len(results), Violations: []string{}}
	var times []time.Duration
	for i, r := range results {
		s.Sent, s.Served, s.Refused, s.Failed = s.Sent+r.Sent, s.Served+r.Served, s.Refused+r.Refused, s.Failed+r.Failed
		times = append(times, r.EraTimes...)
		for _, v := range r.Violations {
			s.Violations = append(s.Violations, fmt.Sprintf("seed %d: %s", i+1, v))
		}
	}
	slices.Sort(times)
	at := func(q float64) int64 {
		if len(times) == 0 {
			return 0
		}
		return times[int(q*float64(len(times)-1))].Milliseconds()
	}
	s.Returns, s.EraP50MS, s.EraP90MS, s.EraMaxMS = len(times), at(0.5), at(0.9), at(1)
	return s
}

func (c *DayCommand) print(s daySummary) error {
	if c.JSON {
		return printJSON(s)
	}
	for _, v := range s.Violations {
		if _, err := fmt.Println(v); err != nil {
			return err
		}
	}
	_, err := fmt.Printf("| days | sent | served | refused | failed | violations | returns | in force p50, ms | p90, ms | most, ms |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n| %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
		s.Days, s.Sent, s.Served, s.Refused, s.Failed, len(s.Violations), s.Returns, s.EraP50MS, s.EraP90MS, s.EraMaxMS)
	return err
}
