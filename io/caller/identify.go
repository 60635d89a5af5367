package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"path"
	"strings"
	"time"

	"nutmegnotch/core"
)

// staleConfigRetryAfter is the retry delay of a refusal for lack of a confirmed
// configuration.
const staleConfigRetryAfter = time.Second

// identity is the contract of an authenticated caller, and the configuration that
// it comes from.
type identity struct {
	config   core.Configuration
	contract core.Contract
}

// KeyHash returns the hash of a caller key that contracts store: hex SHA-256.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// StaleRefusal returns the refusal of new work while the configuration is not
// confirmed.
func StaleRefusal() core.Refusal {
	return core.Refusal{
		Code: core.CodeStaleConfig, NotRun: true, RetryAfter: staleConfigRetryAfter,
		Message: "the configuration is not confirmed at present",
	}
}

func refuse(code core.Code, message string) *core.Refusal {
	return &core.Refusal{Code: code, Message: message, NotRun: true}
}

// identify makes the checks that need neither the service nor the body, and
// authenticates the caller.
func (f *Frontend) identify(r *http.Request) (identity, *core.Refusal) {
	if !r.ProtoAtLeast(1, 1) {
		return identity{}, refuse(core.CodeBadRequest, "HTTP/1.1 is required, since HTTP/1.0 cannot show a reply that was cut short")
	}
	if f.cfg.RefuseAll != nil {
		if refusal, closed := f.cfg.RefuseAll(); closed {
			return identity{}, &refusal
		}
	}
	if !f.cfg.Source.Confirmed(time.Now()) {
		refusal := StaleRefusal()
		return identity{}, &refusal
	}
	return f.identifyCaller(r)
}

// plainService returns the plain service whose path prefix is the longest match.
func plainService(cfg core.Configuration, p string) (core.Service, bool) {
	var best core.Service
	for _, s := range cfg.Services {
		if s.Kind == core.ServicePlain && s.PathPrefix != "" && strings.HasPrefix(p, s.PathPrefix) &&
			len(s.PathPrefix) > len(best.PathPrefix) {
			best = s
		}
	}
	return best, best.PathPrefix != ""
}

// modelService returns the model service that serves the model; of several, the
// first by name.
func modelService(cfg core.Configuration, model string) (core.Service, bool) {
	best, found := core.Service{}, false
	for _, s := range cfg.Services {
		if s.Kind != core.ServiceModel || (found && s.Name > best.Name) {
			continue
		}
		for _, m := range s.Models {
			if m == model {
				best, found = s, true
			}
		}
	}
	return best, found
}

// isCleanPath reports whether the path has no dot segments or empty segments. A
// backend server could resolve those to another path, even of another service.
func isCleanPath(p string) bool {
	return strings.HasPrefix(p, "/") && (path.Clean(p) == p || path.Clean(p)+"/" == p)
}
