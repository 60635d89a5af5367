package systemtest

import (
	"net/http"
	"testing"

	"nutmegnotch/core/config"
)

// change publishes a new version of a contract that must be accepted.
func (c *cluster) change(o *observer, e *proc, object string, n int) {
	c.t.Helper()
	var a published
	eventually(c.t, object+" is accepted", func() bool {
		body := map[string]any{"based_on": c.version(e, object), "value": contractOf("far", n)}
		return c.call(e, http.MethodPut, "/objects/"+object, body, &a) == http.StatusOK
	})
	o.accept(object, a.Version)
}

// checkpointAfter waits for a checkpoint that covers the record at an offset
// and returns the offset from which on a reader needs the log.
func (c *cluster) checkpointAfter(t *testing.T, offset int64) int64 {
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
