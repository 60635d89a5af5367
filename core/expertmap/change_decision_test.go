package expertmap

import "testing"

// Guards against changes of little use, which delay the one that is needed when
// demand shifts, against changes that continue after a shift although they help
// little, and against copies for few requests, which cost more than they save.
func TestChangesThatPay(t *testing.T) {
	tests := []struct {
		name                  string
		before, after         float64
		running               float64
		stale                 bool
		wantBegin, wantEnding bool
	}{
		{"after a shift", 3.2, 1.4, 7, false, true, true},
		{"last refinement", 1.16, 1.05, 7, false, false, true},
		{"little use", 1.5, 1.45, 7, false, false, true},
		{"worse than now", 1.5, 1.6, 7, false, false, false},
		{"planned before a shift, helps little", 3.2, 2.8, 7, true, false, false},
		{"planned before a shift, helps much", 3.2, 1.9, 7, true, true, true},
		{"few requests", 3.2, 1.4, 1.2, false, false, true},
	}
	for _, tt := range tests {
		if got := ShouldStartChange(tt.before, tt.after, tt.running); got != tt.wantBegin {
			t.Errorf("%s: worth beginning got %v, want %v", tt.name, got, tt.wantBegin)
		}
		if got := ShouldContinueChange(tt.before, tt.after, tt.stale); got != tt.wantEnding {
			t.Errorf("%s: worth ending got %v, want %v", tt.name, got, tt.wantEnding)
		}
	}
}
