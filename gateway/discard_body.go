package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// discardBody reads the rest of a body after its request was refused. To close the connection
// instead would reset it, and a caller that still sends could lose the refusal.
func (g *Gateway) discardBody(c *call) {
	rc := http.NewResponseController(c.w)
	if err := rc.Flush(); err != nil {
		g.log.Debug("flushing the refusal to the caller failed", zap.String("request_id", c.id()), zap.Error(err))
		return
	}
	// An error leaves an unread rest, with which net/http closes the connection.
	if _, err := io.CopyN(io.Discard, c.r.Body, c.discardBytes+1); !errors.Is(err, io.EOF) {
		g.log.Info("the body of a refused request is not read to its end", zap.String("request_id", c.id()), zap.Error(err))
		return
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.log.Warn("clear read deadline failed", zap.Error(err))
	}
}
