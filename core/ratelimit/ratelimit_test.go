package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core/ratelimit"
)

var (
	start   = time.Unix(1_000_000, 0)
	process = ratelimit.Process{ServerID: "s0", StartedUnixMS: 1}
)

// Guards against limits that end or change because of replies that overtake each other.
func TestStatementsThatOvertakeEachOther(t *testing.T) {
	type statement struct {
		// rate is what a reply names; 0 means nothing.
		rate     float64
		sent, at time.Duration
		want     ratelimit.Change
	}
	cases := []struct {
		name       string
		statements []statement
		// rate is the limit in the end; 0 means none.
		rate float64
	}{
		{"named and ended", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {0, 20, 30, ratelimit.ChangeEnded}}, 0},
		{"no limit named before", []statement{{0, 0, 10, ratelimit.ChangeNone}}, 0},
		{"an older reply without a limit comes late", []statement{{5, 5, 10, ratelimit.ChangeNamed}, {0, 0, 30, ratelimit.ChangeNone}}, 5},
		{"raised", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {9, 20, 30, ratelimit.ChangeNamed}}, 9},
		{"lowered", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {2, 20, 30, ratelimit.ChangeNamed}}, 2},
		{"a higher one of the same time", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {9, 5, 30, ratelimit.ChangeNone}}, 5},
		{"a lower one of the same time", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {2, 5, 30, ratelimit.ChangeNamed}}, 2},
		{"the next reply after it was named again", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {5, 40, 50, ratelimit.ChangeNone}, {0, 45, 60, ratelimit.ChangeEnded}}, 0},
		{"confirmed once in an interval", []statement{{5, 0, 10, ratelimit.ChangeNamed}, {5, 9000, 9010, ratelimit.ChangeNone},
			{5, 10_000, 10_010, ratelimit.ChangeConfirmed}, {5, 10_020, 10_030, ratelimit.ChangeNone}}, 5},
	}
	for _, c := range cases {
		table := ratelimit.New()
		var now time.Time
		for i, s := range c.statements {
			now = start.Add(s.at * time.Millisecond)
			got := table.State(ratelimit.Statement{Process: process, Rate: s.rate, Named: s.rate > 0, Sent: start.Add(s.sent * time.Millisecond)}, now)
			if got != s.want {
				t.Errorf("%s, statement %d: got change %v, want %v", c.name, i, got, s.want)
			}
		}
		rate := 0.0
		for _, l := range table.Limits(now) {
			rate = l.Rate
		}
		if rate != c.rate {
			t.Errorf("%s: got a limit of %v, want %v", c.name, rate, c.rate)
		}
	}
}

// Guards against limits that hold for ever though nobody has had a reply for long, or that
// are passed on to another process of the server.
func TestLimitsEnd(t *testing.T) {
	table := ratelimit.New()
	table.State(ratelimit.Statement{Process: process, Rate: 5, Named: true, Sent: start}, start)
	if got := table.Expire(start.Add(ratelimit.MaxAge - 1)); len(got) != 0 {
		t.Errorf("before the end: got %v, want none", got)
	}
	if got := table.Limits(start); len(got) != 1 || got[0].Process != process {
		t.Errorf("limits: got %v, want that of the process only", got)
	}
	if got := table.Expire(start.Add(ratelimit.MaxAge)); len(got) != 1 || len(table.Limits(start)) != 0 {
		t.Errorf("at the end: got %v and %v, want it to end", got, table.Limits(start))
	}
}

// Guards against a limit below the number of gateways of which a third lies unused, since
// gateways ask a little after their turns, and each late one made the next come too early.
func TestLateTurnsUseTheWholeLimit(t *testing.T) {
	const (
		gateways = 4
		rate     = 1.5
		length   = 5 * time.Minute
		// latest is how much later than its turn a gateway asks.
		latest = 40 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	p := ratelimit.Process{ServerID: "s"}
	home := ratelimit.New()
	home.State(ratelimit.Statement{Process: p, Rate: rate, Named: true, Sent: start}, start)
	home.SetHome(p, ratelimit.Home{Address: "home", Self: true, Part: 1})
	var asks [gateways]time.Time
	for i := range asks {
		asks[i] = start
	}
	granted := 0
	for {
		next := 0
		for i, at := range asks {
			if at.Before(asks[next]) {
				next = i
			}
		}
		now := asks[next]
		if now.Sub(start) >= length {
			break
		}
		n, wait := home.Lend(p, 1, now)
		granted += n
		asks[next] = now.Add(wait + time.Duration(rnd.Float64()*float64(latest)))
	}
	got := float64(granted) / length.Seconds()
	if least := 0.9 * rate; got < least || got > rate {
		t.Errorf("permits a second: got %.2f, want %.2f to %.2f", got, least, rate)
	}
}
