package gateway_test

import (
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against gateways that dial stopped ones for good, and keep their records in the
// store.
func TestStoppedGatewaysAreForgotten(t *testing.T) {
	const gateways, replaced = 2, 4
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.forgetAfter = 500 * time.Millisecond
	for range gateways {
		d.startReady()
	}
	for range replaced {
		d.restart(0)
	}
	eventually(t, "records of stopped gateways are removed", func() bool {
		return len(d.stored("keyed.nutmegnotch-members")) == gateways
	})
	eventually(t, "the last gateways know each other", func() bool {
		return d.gateways[1].logs.FilterMessage("gateways forgotten").Len() > 0 && d.connected()
	})
}
