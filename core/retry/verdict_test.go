package retry_test

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
)

// Fingerprints of parts of prompts and of whole requests.
const (
	badPart = 100 + iota
	firstPart
	newPart
	ownRequest = 200
)

// partCrashes returns the ends of processes in turn, each under all of the keys.
func partCrashes(from, to int, parts ...uint64) []retry.Crash {
	var out []retry.Crash
	for i := from; i < to; i++ {
		keys := retry.Keys{Request: uint64(1000 + i), Parts: parts}
		out = append(out, keys.Crashes(fmt.Sprint("process-", i), at(20*i), at(20*i+10))...)
	}
	return out
}

// atTheSameTime returns the ends of n processes at the same moment under one part.
func atTheSameTime(n int, part uint64) []retry.Crash {
	var out []retry.Crash
	for i := range n {
		out = append(out, retry.Crash{Fingerprint: part, PromptPart: true, ID: fmt.Sprint("process-", i), Started: at(0), Ended: at(10)})
	}
	return out
}

// Guards against a part that crashes servers and is not found, and against sound requests
// that are refused for parts that they share with it.
func TestPartsThatBlock(t *testing.T) {
	const (
		sent  = core.QuarantineSuspect
		clear = core.QuarantineClear
		block = core.QuarantineBlocked
	)
	cases := []struct {
		name    string
		served  []uint64
		crashes []retry.Crash
		// parts are those of the request to judge, with its status and whether one such
		// request is sent at a time.
		parts []uint64
		want  core.QuarantineStatus
		alone bool
	}{
		{"two crashes", []uint64{firstPart}, partCrashes(0, 2, firstPart, badPart), []uint64{firstPart, badPart}, sent, false},
		{"three crashes", []uint64{firstPart}, partCrashes(0, 3, firstPart, badPart), []uint64{firstPart, badPart}, block, false},
		{"three crashes, sound request", []uint64{firstPart}, partCrashes(0, 3, firstPart, badPart), []uint64{firstPart}, sent, false},
		{"many crashes, sound request", []uint64{firstPart}, partCrashes(0, 9, firstPart, badPart), []uint64{firstPart}, sent, false},
		{"the part with others", []uint64{firstPart}, partCrashes(0, 3, firstPart, badPart), []uint64{badPart}, block, false},
		{"a part that was never on a server that ended", []uint64{firstPart}, partCrashes(0, 3, firstPart, badPart), []uint64{newPart}, clear, false},
		{"three at the same time", []uint64{firstPart}, atTheSameTime(3, badPart), []uint64{badPart}, sent, true},
		{"no part is known to have been served", nil, partCrashes(0, 4, firstPart, badPart), []uint64{firstPart}, sent, true},
		{"no part is known, all explaining parts", nil, partCrashes(0, 5, firstPart, badPart), []uint64{firstPart, badPart}, block, false},
		{"no part is known, five crashes, sound request", nil, partCrashes(0, 5, firstPart, badPart), []uint64{firstPart}, sent, true},
		{"another part never served", []uint64{firstPart}, partCrashes(0, 3, firstPart, badPart, newPart), []uint64{firstPart, badPart, newPart}, block, false},
		{"another part never served, sound request", []uint64{firstPart}, partCrashes(0, 9, firstPart, badPart, newPart), []uint64{firstPart, newPart}, sent, true},
		{"a popular part on servers that end for other reasons", []uint64{firstPart}, partCrashes(0, 4, firstPart), []uint64{firstPart}, sent, true},
		{"a part that was served before and crashes all servers", []uint64{firstPart}, partCrashes(0, 5, firstPart), []uint64{firstPart}, block, false},
	}
	for _, c := range cases {
		q := retry.NewQuarantine()
		q.PartsServed(c.served, at(-100))
		for _, x := range c.crashes {
			q.Add(x, at(1000))
		}
		got := q.Judge(retry.Keys{Request: ownRequest, Parts: c.parts}, at(1000))
		if got.Status != c.want || len(got.Ambiguous) > 0 != c.alone {
			t.Errorf("%s: got status %d, ambiguous %v, want %d, %v", c.name, got.Status, got.Ambiguous, c.want, c.alone)
		}
	}
}

// Guards against a part that is taken for sound, or stays blocked, after others that ran
// with it were served.
func TestServedPartsClearTheirCrashes(t *testing.T) {
	q := retry.NewQuarantine()
	for _, c := range partCrashes(0, 3, firstPart, badPart) {
		q.Add(c, at(100))
	}
	q.PartsServed([]uint64{firstPart}, at(100))
	q.Clear(firstPart, at(100))
	if got, want := q.Judge(retry.Keys{Request: ownRequest, Parts: []uint64{firstPart}}, at(200)).Status, core.QuarantineClear; got != want {
		t.Errorf("part that was served: got status %d, want %d", got, want)
	}
	if got, want := q.Judge(retry.Keys{Request: ownRequest, Parts: []uint64{newPart, badPart}}, at(200)).Status, core.QuarantineBlocked; got != want {
		t.Errorf("the other part: got status %d, want %d", got, want)
	}
	if !q.HasCrashes() {
		t.Error("crashes of the other part: got none, want some")
	}
	q.Clear(badPart, at(200))
	for i := range 3 {
		q.Clear(uint64(1000+i), at(200))
	}
	if q.HasCrashes() {
		t.Error("crashes after all were cleared: got some, want none")
	}
	late := retry.Crash{Fingerprint: newPart, PromptPart: true, ID: "process", Started: at(0), Ended: at(10)}
	q.PartsServed([]uint64{newPart}, at(20))
	if _, counted := q.Add(late, at(200)); counted {
		t.Error("a crash before the part was served counts, want it left out")
	}
}

// Guards against a popular part that is held back because several servers fall silent.
func TestSilentServersHoldOnlyUnknownParts(t *testing.T) {
	cases := []struct {
		name   string
		served []uint64
		want   bool
	}{
		{"never served", []uint64{newPart}, true},
		{"served before", []uint64{firstPart}, false},
		{"no part is known to have been served", nil, false},
	}
	for _, c := range cases {
		q := retry.NewQuarantine()
		q.PartsServed(c.served, at(-100))
		if got := q.MayReach(retry.Keys{Request: ownRequest, Parts: []uint64{firstPart}}, func(key uint64) int {
			if key == firstPart {
				return 3
			}
			return 0
		}); got != c.want {
			t.Errorf("%s: got held %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against memory that grows with the parts that callers invent.
func TestServedPartsAreBounded(t *testing.T) {
	q := retry.NewQuarantine()
	for i := range uint64(100_000) {
		q.PartsServed([]uint64{firstPart, 1000 + i}, at(int(i)))
	}
	if got, most := len(q.ServedParts(1<<30)), 1<<14; got > most {
		t.Errorf("parts: got %d, want at most %d", got, most)
	}
	if !q.ServedBefore(firstPart) {
		t.Error("the part that is served most is forgotten")
	}
}

// Guards against parts of requests that servers had begun to answer and that count as
// suspect although their servers lived on.
func TestBrokenAnswersOfServersThatLiveOn(t *testing.T) {
	cases := []struct {
		name          string
		begun, alive  bool
		wantSurvivors int
	}{
		{"begun, alive", true, true, 2},
		{"not begun", false, true, 0},
		{"not known to be alive", true, false, 0},
	}
	for _, c := range cases {
		b := retry.NewBrokenRuns()
		b.Add(server("s", "addr", 1), retry.Keys{Request: ownRequest, Parts: []uint64{firstPart}}, c.begun, at(0), at(10))
		if c.alive {
			b.Alive(retry.ProcessID(server("s", "addr", 1)), at(20))
		}
		if got := len(b.Expire(at(20).Add(retry.SilentServerTime + time.Second))); got != c.wantSurvivors {
			t.Errorf("%s: got %d survivors, want %d", c.name, got, c.wantSurvivors)
		}
	}
}
