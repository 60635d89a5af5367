package gateway_test

import (
	"net/http"
	"testing"

	"nutmegnotch/core"
	"nutmegnotch/emulator/runner"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against gateways that do not know of a group that is out of service, because
// its rank agents have sessions with other gateways only.
func TestEngineStateIsPassedOn(t *testing.T) {
	d := newDeployment(t)
	d.engine = map[string]any{"slots": 4, "step_ms": 5}
	r := d.addRunner(runner.Config{ID: "m1", Events: 2}, "model")
	d.publish()
	d.startReady()
	second := d.startReady()
	eventually(t, "gateways are connected", d.connected)
	eventually(t, "requests are served", func() bool {
		return send(newRequest(second, "POST", "/draft/x", "key-a", "")).status == http.StatusOK
	})
	up := make(chan struct{}, 1)
	agent := peer.New(peer.Config{
		Self:        &peerpb.Hello{Id: "agent", Role: core.RoleRankAgent, Deployment: "test"},
		OnSessionUp: func(*peer.Session) { up <- struct{}{} },
	})
	defer agent.Stop()
	agent.KeepConnected(d.gateways[0].peer)
	<-up
	agent.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_EngineState{EngineState: &peerpb.EngineState{
		EngineAddress: r.Address(), Pace: 1, Open: false,
	}}})
	eventually(t, "the other gateway refuses requests to the group", func() bool {
		// The time left marks the request as a caller's retry. A first attempt is sent
		// to the group as a probe, which this engine serves.
		r := newRequest(second, "POST", "/draft/x", "key-a", "")
		r.Header.Set("Nutmegnotch-Deadline-Ms", "500")
		return send(r).status == http.StatusServiceUnavailable
	})
}
