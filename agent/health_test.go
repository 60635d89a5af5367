package agent

import (
	"testing"
	"time"

	"nutmegnotch/core/admission"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against slow probes that count as restarts, and against crashes that are
// reported twice or not at all.
func TestObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &admissionState{
		cfg:      Config{Self: &peerpb.Hello{Id: "a"}},
		admitter: admission.New(admission.Limits{}, now),
		running:  map[string]uint64{"q1": 7, "q2": 0},
	}
	steps := []struct {
		name        string
		up          bool
		incarnation string
		broken      []brokenRun
		want        int
	}{
		{"first seen", true, "i1", nil, 0},
		{"slow", false, "", nil, 0},
		{"answers again", true, "i1", nil, 0},
		{"died", false, "", []brokenRun{{fingerprint: 9, at: now}}, 2},
		{"restarted", true, "i2", nil, 0},
		{"restarted at once", true, "i3", []brokenRun{{fingerprint: 5, at: now}}, 1},
		{"old broken run", false, "", []brokenRun{{fingerprint: 5, at: now.Add(-time.Minute)}}, 0},
	}
	for _, st := range steps {
		s.brokenRuns = append(s.brokenRuns, st.broken...)
		if got := len(s.observe(st.up, st.incarnation, nil, now).GetFingerprints()); got != st.want {
			t.Errorf("%s: got %d fingerprints, want %d", st.name, got, st.want)
		}
	}
}
