package core_test

import (
	"testing"
	"time"

	"nutmegnotch/core"
)

// Guards against limits of connections of which a stricter one wins over the one in force, or
// that are unbounded where the configuration states none.
func TestLoosestCallerLimits(t *testing.T) {
	t.Parallel()
	none := core.CallerLimits{}.WithDefaults()
	cases := []struct {
		name string
		l, o core.CallerLimits
		want core.CallerLimits
	}{
		{"each limit by itself", core.CallerLimits{MaxHeaderBytes: 1, HeaderTimeout: time.Hour, IdleTimeout: 2},
			core.CallerLimits{MaxHeaderBytes: 1 << 30, HeaderTimeout: 1, IdleTimeout: time.Hour},
			core.CallerLimits{MaxHeaderBytes: 1 << 30, HeaderTimeout: time.Hour, IdleTimeout: time.Hour}},
		{"none stated", core.CallerLimits{MaxHeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}, core.CallerLimits{}, none},
		{"negative", core.CallerLimits{MaxHeaderBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}, core.CallerLimits{}, none},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l, o := tc.l.WithDefaults(), tc.o.WithDefaults()
			if got := l.Loosest(o); got != tc.want {
				t.Errorf("loosest: got %+v, want %+v", got, tc.want)
			}
			if got := o.Loosest(l); got != tc.want {
				t.Errorf("the other way round: got %+v, want %+v", got, tc.want)
			}
		})
	}
}
