package reply_test

import (
	"testing"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
	"nutmegnotch/emulator/experiment"
)

// Guards against reservations above a limit, and against totals that differ from
// the live reservations.
func TestReservationsStayBelowLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, orgLimit = 1 << 20, 1 << 19
		b := reply.NewBudget(limit)
		var live []core.Reservation
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(live) > 0 && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				b.Release(live[i])
				b.Release(live[i])
				live = append(live[:i], live[i+1:]...)
				continue
			}
			org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
			want := rapid.Int64Range(1, 200_000).Draw(t, "want")
			r, ok := b.Reserve(org, want, orgLimit)
			if ok {
				live = append(live, r)
			}
			own, all := b.Held(org)
			if own > orgLimit || all > limit {
				t.Fatalf("held: got %d and %d, want at most %d and %d", own, all, orgLimit, limit)
			}
			if ok && r.Bytes < min(want, reply.WindowBytes) {
				t.Fatalf("reservation: got %d bytes, want at least a window", r.Bytes)
			}
		}
		var sum int64
		for _, r := range live {
			sum += r.Bytes
		}
		if _, got := b.Held(""); got != sum {
			t.Fatalf("held: got %d, want %d", got, sum)
		}
	})
}

// Guards against one organisation that takes all memory, so that others get none.
func TestRoomIsLeftForOthers(t *testing.T) {
	for _, limit := range []int64{1 << 20, 10 << 20} {
		b := reply.NewBudget(limit)
		for {
			if _, ok := b.Reserve("slow", 64<<10, 0); !ok {
				break
			}
		}
		for _, org := range []string{"b", "c", "d"} {
			if _, ok := b.Reserve(org, 64<<10, 0); !ok {
				t.Errorf("limit %d, organisation %q: got refused, want a reservation", limit, org)
			}
		}
	}
}

// Guards against slow readers that take more memory than the limit, or that starve
// a fast organisation.
func TestSlowReadersInSimulation(t *testing.T) {
	const limit = experiment.ReplyBudgetBytes
	for seed := range uint64(5) {
		f := experiment.SlowReaders(reply.NewBudget(limit), seed)
		if f.PeakHeld > limit || f.PeakReserved > limit {
			t.Errorf("seed %d: held %.0f, reserved %.0f, want at most %d", seed, f.PeakHeld, f.PeakReserved, limit)
		}
		if got := f.Fast.RefusedMemory + f.Fast.RefusedSlots; got != 0 {
			t.Errorf("seed %d: refusals of the fast organisation: got %d, want 0", seed, got)
		}
	}
}
