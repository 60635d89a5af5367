package directory_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// at returns a record at a position.
func at(key, value string, era, offset int64) core.KeyedRecord {
	r := rec(key, value, offset)
	r.Position.Era = era
	return r
}

// full returns a batch with the newest records of all keys of an era.
func full(era, next int64, records ...core.KeyedRecord) core.KeyedBatch {
	return core.KeyedBatch{Records: records, Next: core.Position{Era: era, Offset: next}}
}

// process returns the value of a server's record: its state, address, start time and
// report number.
func process(state string, started, number int) string {
	return fmt.Sprintf("%s 10.0.0.1:1 %d %d", state, started, number)
}

// Guards against a store that comes back from a copy and takes back what is known, or
// whose offsets, which are given out again, hide new records.
func TestNewEra(t *testing.T) {
	type step struct {
		name  string
		topic core.Topic
		b     core.KeyedBatch
		full  bool
		after time.Duration
		// servers and drained are what is usable and whether z1 is drained.
		servers, config string
		drained         bool
	}
	before := []step{
		{"servers", core.TopicServers, full(1, 9, at("a", process("ready", 1, 3), 1, 5), at("b", process("ready", 1, 4), 1, 6)), true, 0, "a b", "", false},
		{"operator", core.TopicOperator, full(1, 30, at("config", "7", 1, 29)), true, 0, "a b", "7", false},
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a lost registration stays and comes again", []step{
			{"copy", core.TopicServers, full(2, 6, at("a", process("ready", 1, 3), 2, 5)), true, 0, "a b", "7", false},
			{"settled without", core.TopicServers, full(2, 6), false, directory.SettlePeriod - time.Millisecond, "a b", "7", false},
			{"again", core.TopicServers, full(2, 7, at("b", process("ready", 1, 5), 2, 6)), false, 0, "a b", "7", false},
			{"settled", core.TopicServers, full(2, 7), false, directory.SettlePeriod, "a b", "7", false},
		}},
		{"a server that does not come again is gone", []step{
			{"copy", core.TopicServers, full(2, 6, at("a", process("ready", 1, 3), 2, 5)), true, 0, "a b", "7", false},
			{"settled", core.TopicServers, full(2, 6), false, directory.SettlePeriod, "a", "7", false},
		}},
		{"a leaving server is ready in the copy", []step{
			{"leaving", core.TopicServers, full(1, 10, at("a", process("leaving", 1, 4), 1, 9)), false, 0, "b", "7", false},
			{"copy", core.TopicServers, full(2, 7, at("a", process("ready", 1, 3), 2, 5), at("b", process("ready", 1, 4), 2, 6)), true, 0, "b", "7", false},
			{"a later word of the same process", core.TopicServers, full(2, 8, at("a", process("ready", 1, 5), 2, 7)), false, 0, "b", "7", false},
			{"a new process", core.TopicServers, full(2, 9, at("a", process("ready", 2, 1), 2, 8)), false, 0, "a b", "7", false},
		}},
		{"a removed server is ready in the copy", []step{
			{"removed", core.TopicServers, full(1, 10, at("a", "", 1, 9)), false, 0, "b", "7", false},
			{"copy", core.TopicServers, full(2, 7, at("a", process("ready", 1, 3), 2, 5), at("b", process("ready", 1, 4), 2, 6)), true, 0, "b", "7", false},
			{"it lives", core.TopicServers, full(2, 8, at("a", process("ready", 1, 4), 2, 7)), false, 0, "a b", "7", false},
		}},
		{"the configuration never goes back", []step{
			{"copy", core.TopicOperator, full(2, 3, at("config", "5", 2, 2)), true, 0, "a b", "7", false},
			{"a newer one at a smaller offset", core.TopicOperator, full(2, 4, at("config", "8", 2, 3)), false, 0, "a b", "8", false},
		}},
		{"a drained domain stays drained until the operator takes it back", []step{
			{"drained", core.TopicOperator, full(1, 31, at("out/z1", "{}", 1, 30)), false, 0, "", "7", true},
			{"copy", core.TopicOperator, full(2, 30, at("config", "7", 2, 29)), true, 0, "", "7", true},
			{"again", core.TopicOperator, full(2, 31, at("out/z1", "{}", 2, 30)), false, directory.SettlePeriod, "", "7", true},
			{"taken back", core.TopicOperator, full(2, 32, at("out/z1", "", 2, 31)), false, 0, "a b", "7", false},
		}},
		{"a drained domain that nobody drains again is back", []step{
			{"drained", core.TopicOperator, full(1, 31, at("out/z1", "{}", 1, 30)), false, 0, "", "7", true},
			{"copy", core.TopicOperator, full(2, 30, at("config", "7", 2, 29)), true, 0, "", "7", true},
			{"settled", core.TopicOperator, full(2, 30), false, directory.SettlePeriod, "a b", "7", false},
		}},
		{"late answers of an earlier era change nothing", []step{
			{"copy", core.TopicServers, full(3, 7, at("a", process("ready", 1, 3), 3, 5), at("b", process("ready", 1, 4), 3, 6)), true, 0, "a b", "7", false},
			{"all, late", core.TopicServers, full(2, 90), true, 0, "a b", "7", false},
			{"more, late", core.TopicServers, full(1, 99, at("a", "", 1, 98)), false, 0, "a b", "7", false},
			{"more of a later era", core.TopicServers, full(4, 9, at("a", "", 4, 8)), false, 0, "a b", "7", false},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := directory.New(decoder{})
			clock := now
			for _, s := range append(slices.Clone(before), c.steps...) {
				clock = clock.Add(s.after)
				apply := d.Append
				if s.full {
					apply = d.Replace
				}
				if _, err := apply(s.topic, s.b, clock); err != nil {
					t.Fatalf("%s: %v", s.name, err)
				}
				d.Expire(clock)
				d.Settle(s.topic, clock, clock)
				config := ""
				if d.Deployment() != nil {
					config = strconv.FormatInt(d.Deployment().Version, 10)
				}
				if got := usable(d); got != s.servers || config != s.config || d.Drained("z1") != s.drained {
					t.Errorf("%s: got servers %q, version %s, drained %t, want %q, %s, %t", s.name, got, config, d.Drained("z1"), s.servers, s.config, s.drained)
				}
			}
		})
	}
}

// Guards against a report that the store carries out after newer ones of the same process, and
// which lists a server again that has left.
func TestLateReportListsNoServerThatHasLeft(t *testing.T) {
	cases := []struct {
		name    string
		records []core.KeyedRecord
		want    string
	}{
		{"after the removal", []core.KeyedRecord{rec("a", process("ready", 1, 4), 5), rec("a", "", 6), rec("a", process("ready", 1, 3), 7)}, ""},
		{"the server reports again", []core.KeyedRecord{rec("a", process("ready", 1, 4), 5), rec("a", "", 6), rec("a", process("ready", 1, 5), 7)}, "a"},
		{"its last report, repeated", []core.KeyedRecord{rec("a", process("ready", 1, 4), 5), rec("a", "", 6), rec("a", process("ready", 1, 4), 7)}, "a"},
		{"the server has started again", []core.KeyedRecord{rec("a", process("ready", 1, 4), 5), rec("a", "", 6), rec("a", process("ready", 2, 1), 7)}, "a"},
		{"while it is listed", []core.KeyedRecord{rec("a", process("ready", 1, 4), 5), rec("a", process("ready", 1, 3), 6)}, "a"},
		{"after it has said that it leaves", []core.KeyedRecord{rec("a", process("leaving", 1, 4), 5), rec("a", process("ready", 1, 3), 6)}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := directory.New(decoder{})
			for _, r := range tc.records {
				if _, err := d.Append(core.TopicServers, batch(r), now); err != nil {
					t.Fatalf("apply: %v", err)
				}
			}
			if got := usable(d); got != tc.want {
				t.Errorf("usable servers: got %q, want %q", got, tc.want)
			}
		})
	}
}
