package options_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/options"
)

// Guards against example files that are no longer valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.toml")
	if err != nil || len(files) != 4 {
		t.Fatalf("example files: got %v (%v), want 4", files, err)
	}
	for _, f := range files {
		if name := filepath.Base(f); name == "gateway.toml" || name == "rank_agent.toml" {
			if _, err := options.LoadNode(f); err != nil {
				t.Errorf("load %s: %v", f, err)
			}
			continue
		}
		s, err := options.Load(f)
		if err != nil {
			t.Errorf("load %s: %v", f, err)
		}
		if got, want := s.Listen.PeerAdvertised, s.Listen.Peer; got != want {
			t.Errorf("%s: advertised address: got %q, want %q", f, got, want)
		}
		if got, want := s.Claims.Window.AsDuration(), 6*time.Hour; got != want {
			t.Errorf("%s: claim window: got %s, want %s", f, got, want)
		}
	}
}

// Guards against invalid settings that are accepted, and against errors that do not
// name the line, key, value and allowed values.
func TestBadSettings(t *testing.T) {
	entry, err := os.ReadFile("../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	agent, err := os.ReadFile("../examples/agent.toml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, file, old, new string
		want                 []string
	}{
		{"unknown key", string(entry), `region = "valley"`, `regoin = "valley"`, []string{"f.toml:5", `"regoin"`}},
		{"wrong type", string(entry), `partitions = 4`, `partitions = "4"`, []string{"f.toml:21", "claims.partitions", `"4"`, "an integer"}},
		{"bad duration", string(entry), `drain_delay = "2s"`, `drain_delay = 2`, []string{"entry.drain_delay", "duration"}},
		{"not TOML", string(entry), `region = "valley"`, `region = `, []string{"f.toml:5"}},
		{"out of range", string(entry), `partitions = 4`, `partitions = 0`, []string{"f.toml:21", "claims.partitions", "1 to 100"}},
		{"report interval too short", string(entry), `[claims]`, "[reports]\ninterval = \"10ms\"\n[claims]", []string{"reports.interval", `"10ms"`, "1s to 10m0s"}},
		{"window above half of retention", string(entry), `"6h"`, `"13h"`, []string{"claims.window", `"13h"`, "12h0m0s"}},
		{"host name", string(entry), `admin = "127.0.0.1:8081"`, `admin = "localhost:8081"`, []string{"listen.admin", "IP address"}},
		{"unspecified advertised address", string(entry), `peer = "127.0.0.1:8082"`, `peer = "0.0.0.0:8082"`, []string{"listen.peer_advertised"}},
		{"missing id", string(entry), `id = "entry-1"`, ``, []string{`"id" is missing`}},
		{"role contradicts table", string(entry), `role = "entry"`, `role = "agent"`, []string{"entry.upload_timeout", `role is "agent"`}},
		{"rank of another address", string(agent), `rank = 0`, `rank = 1`, []string{"group.rank", "127.0.0.1:8182", "agent-1"}},
		{"rank without an address", string(agent), `["agent-1", "agent-2"]`, `["agent-1"]`, []string{"group.rank_addresses", "as many"}},
		{"rank id twice", string(agent), `["agent-1", "agent-2"]`, `["agent-1", "agent-1"]`, []string{"group.rank_ids", "unique ids"}},
		{"group without an engine", string(agent), `engine_address = "127.0.0.1:9100"`, ``, []string{"group.engine_address"}},
		{"too few slots", string(agent), `slots_per_rank = 32`, `slots_per_rank = 31`, []string{"group.rebalance.slots_per_rank", "32 to"}},
		{"rank out of range", string(agent), `rank = 0`, `rank = 2`, []string{"group.rank", "0 to 1"}},
		{"group without a name", string(agent), `name = "runners-1"`, ``, []string{"group.rank", "group.name is not set"}},
		{"backend kind", string(agent), `"engine"`, `"engines"`, []string{"agent.backend_kind", `"engines"`, `"desk"`}},
	}
	for _, tt := range tests {
		text := strings.Replace(tt.file, tt.old, tt.new, 1)
		if text == tt.file {
			t.Fatalf("%s: %q is not in the example", tt.name, tt.old)
		}
		_, err := options.Parse("f.toml", []byte(text))
		if !errors.Is(err, core.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", tt.name, err)
			continue
		}
		for _, w := range tt.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: got %q, want it to name %q", tt.name, err, w)
			}
		}
	}
}

// Guards against input that makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id = \"a\"\n[claims]\nwindow = \"1h\"\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = options.Parse("f.toml", data) })
}
