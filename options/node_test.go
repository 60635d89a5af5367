package options_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/options"
)

const gatewaySettings = `id = "gateway-1"
role = "gateway"
failure_domain = "z1"
memory_mb = 284
grace = "8s"
seeds = ["10.0.0.1:80"]
[listen]
caller = "10.0.0.1:81"
ready = "10.0.0.1:82"
peer = "10.0.0.1:80"
[store]
address = "10.0.0.9:80"
[retry]
ratio = 0.2
slack = 92
window = "10s"
`

const rankAgentSettings = `id = "agent-1"
role = "rank_agent"
failure_domain = "z1"
[listen]
peer = "10.0.0.1:80"
[store]
address = "10.0.0.9:80"
[engine]
address = "10.0.0.1:8080"
`

// Guards against valid settings of gateways and rank agents that are rejected or
// decoded wrongly, and against wrong defaults.
func TestNodeSettings(t *testing.T) {
	g, err := options.ParseNode("g.toml", []byte(gatewaySettings))
	if err != nil {
		t.Fatalf("parse gateway settings: %v", err)
	}
	if g.Retry.Slack != 92 || g.Grace.AsDuration() != 8*time.Second || g.Store.ServersInterval.AsDuration() != 700*time.Millisecond || g.Seeds[0] != "10.0.0.1:80" {
		t.Errorf("gateway settings: got %+v", g)
	}
	a, err := options.ParseNode("a.toml", []byte(rankAgentSettings))
	if err != nil || a.LinkMbps != 8 {
		t.Errorf("rank agent settings: got %+v, %v", a, err)
	}
	a, err = options.ParseNode("a.toml", []byte("link_mbps = 20\n"+rankAgentSettings))
	if err != nil || a.LinkMbps != 20 {
		t.Errorf("rank agent settings with a link: got %+v, %v", a, err)
	}
}

// Guards against invalid settings that are accepted, and against errors that do not
// name the key or the allowed values.
func TestBadNodeSettings(t *testing.T) {
	cases := []struct{ name, text, old, new, want string }{
		{"unknown key", gatewaySettings, "[store]\n", "[store]\nspeed = 3\n", `unknown key "store.speed"`},
		{"role", gatewaySettings, `"gateway"`, `"balancer"`, `"gateway", "rank_agent"`},
		{"missing id", gatewaySettings, `id = "gateway-1"`, "", `"id" is missing`},
		{"grace", gatewaySettings, `"8s"`, `"1s"`, "2s to 10m0s"},
		{"duration as a number", gatewaySettings, `grace = "8s"`, `grace = 8`, "duration"},
		{"seed without port", gatewaySettings, `"10.0.0.1:80"]`, `"10.0.0.1"]`, "seeds"},
		{"negative ratio", gatewaySettings, "ratio = 0.2", "ratio = -0.2", "retry.ratio"},
		{"store address", gatewaySettings, `"10.0.0.9:80"`, `"store"`, "store.address"},
		{"memory", gatewaySettings, "memory_mb = 284", "memory_mb = 1", "64 to"},
		{"link at a gateway", gatewaySettings, "memory_mb = 284", "link_mbps = 8", "it is for rank agents only"},
		{"link", rankAgentSettings, `role = "rank_agent"`, "role = \"rank_agent\"\nlink_mbps = 0", "0.1 to 1000000"},
		{"link without a number", rankAgentSettings, `role = "rank_agent"`, "role = \"rank_agent\"\nlink_mbps = nan", "0.1 to 1000000"},
		{"engine at a gateway", gatewaySettings, "[retry]", "[engine]\naddress = \"10.0.0.1:1\"\n[retry]", "it is for rank agents only"},
		{"caller at a rank agent", rankAgentSettings, "[listen]", "[listen]\ncaller = \"10.0.0.1:1\"", "it is for gateways only"},
		{"no engine", rankAgentSettings, "[engine]\naddress = \"10.0.0.1:8080\"", "", "engine.address"},
	}
	for _, c := range cases {
		text := strings.Replace(c.text, c.old, c.new, 1)
		if _, err := options.ParseNode("f.toml", []byte(text)); !errors.Is(err, core.ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error with %q", c.name, err, c.want)
		}
	}
}

// Guards against input that makes ParseNode panic.
func FuzzParseNode(f *testing.F) {
	f.Add([]byte(gatewaySettings))
	f.Add([]byte(rankAgentSettings))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = options.ParseNode("f.toml", data) })
}
