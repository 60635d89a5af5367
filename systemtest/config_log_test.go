package systemtest

import (
	"net/http"
	"testing"

	"nutmegnotch/core/config"
)

// publishContract publishes a new version of the contract of organisation "far"
// and waits until it is accepted.
func (c *cluster) publishContract(o *observer, e *proc, object string, n int) {
	c.t.Helper()
	var a publishResponse
	eventually(c.t, object+" is accepted", func() bool {
		body := map[string]any{"based_on": c.version(e, object), "value": testContract("far", n)}
		return c.call(e, http.MethodPut, "/objects/"+object, body, &a) == http.StatusOK
	})
	o.accept(object, a.Version)
}

// waitCheckpoint waits for a checkpoint that covers the record at an offset. It
// returns the first offset that the checkpoint does not cover.
func (c *cluster) waitCheckpoint(t *testing.T, offset int64) int64 {
	t.Helper()
	var covered int64
	eventually(t, "a checkpoint is written", func() bool {
		var a struct {
			Records []struct {
				Data []byte `json:"data"`
			} `json:"records"`
		}
		if getJSON("http://"+c.logAddr+"/streams/config/records?from=0&limit=1000", &a) != nil {
			return false
		}
		for _, r := range a.Records {
			if n, ok := config.CheckpointOffset(r.Data); ok {
				covered = max(covered, n)
			}
		}
		return covered > offset
	})
	return covered
}
