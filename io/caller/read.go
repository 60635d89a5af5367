package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
)

const (
	idempotencyHeader      = "Idempotency-Key"
	priorityHeader         = "X-Priority"
	maxIdempotencyKeyBytes = 255
	// defaultRequestTimeout applies when neither contract nor service sets one.
	defaultRequestTimeout = time.Minute
)

// readPlain reads a request for a plain service.
func (f *Frontend) readPlain(id identity, w http.ResponseWriter, r *http.Request) (*Request, *core.Refusal) {
	if !isCleanPath(r.URL.Path) {
		return nil, refuse(core.CodeBadRequest, "the path holds dot segments or empty segments")
	}
	service, ok := plainService(id.config, r.URL.Path)
	if !ok {
		return nil, refuse(core.CodeNotFound, "no service has this path")
	}
	if !id.contract.Allows(service.Name) {
		return nil, refuse(core.CodeForbidden, "the contract does not include this service")
	}
	req := newRequest(id, service, r)
	if refusal := req.readIdempotencyKey(r, f.cfg.ClaimWindow); refusal != nil {
		return nil, refusal
	}
	body, free, refusal := f.readBody(id, w, r, bodyLimit(service))
	if refusal != nil {
		return nil, refusal
	}
	req.setBody(body, free)
	req.PromptTokens = 1
	return req, nil
}

// readCompletion reads a request for a model service.
func (f *Frontend) readCompletion(id identity, w http.ResponseWriter, r *http.Request) (*Request, *core.Refusal) {
	body, free, refusal := f.readBody(id, w, r, modelBodyLimit(id.config))
	if refusal != nil {
		return nil, refusal
	}
	req, refusal := f.completionRequest(id, r, body)
	if refusal != nil {
		free()
		return nil, refusal
	}
	req.setBody(body, free)
	return req, nil
}

func (f *Frontend) completionRequest(id identity, r *http.Request, body []byte) (*Request, *core.Refusal) {
	c, err := parseCompletion(body)
	if err != nil {
		return nil, refuse(core.CodeBadRequest, err.Error())
	}
	service, ok := modelService(id.config, c.Model)
	if !ok {
		return nil, refuse(core.CodeNotFound, "no service serves this model")
	}
	if !id.contract.Allows(service.Name) {
		return nil, refuse(core.CodeForbidden, "the contract does not include this model")
	}
	if int64(len(body)) > bodyLimit(service) {
		return nil, refuse(core.CodeTooLarge, "the body is larger than the service permits")
	}
	req := newRequest(id, service, r)
	req.Model, req.Adapter = c.Model, c.Adapter
	req.Repeatable = true
	req.PromptTokens = c.prompt.tokens()
	req.PrefixHash = c.prompt.prefixHash(c.Model, c.Adapter)
	req.OutputTokens = service.MaxOutputTokens
	if c.MaxTokens != nil {
		if service.MaxOutputTokens > 0 && *c.MaxTokens > service.MaxOutputTokens {
			return nil, refuse(core.CodeBadRequest, "max_tokens is larger than the service permits")
		}
		req.OutputTokens = *c.MaxTokens
	}
	if c.Priority != nil {
		req.Priority = clampPriority(*c.Priority, id.contract)
	}
	return req, nil
}

func newRequest(id identity, service core.Service, r *http.Request) *Request {
	now := time.Now()
	req := &Request{
		Method: r.Method, Path: r.URL.RequestURI(), Header: requestHeader(r.Header),
		Contract: id.contract, ServiceInfo: service, ConfigOffset: id.config.NextOffset, ContractVersion: id.contractVersion(),
	}
	req.Organisation, req.Service = id.contract.Organisation, service.Name
	req.Weight = max(1, id.contract.Weight)
	req.Arrived, req.Deadline = now, now.Add(requestTimeout(id.contract, service))
	req.Repeatable = service.Repeatable || !isUnsafeMethod(r.Method)
	if p, err := strconv.Atoi(r.Header.Get(priorityHeader)); err == nil {
		req.Priority = clampPriority(p, id.contract)
	}
	return req
}

// requestTimeout returns the shorter of the timeouts of contract and service.
func requestTimeout(c core.Contract, s core.Service) time.Duration {
	t := c.ReplyTime()
	if st := s.RequestTimeout(); st > 0 && (t <= 0 || st < t) {
		t = st
	}
	if t <= 0 {
		return defaultRequestTimeout
	}
	return t
}

func clampPriority(p int, c core.Contract) int { return max(0, min(p, c.MaxPriority)) }

// isUnsafeMethod reports whether a method may have side effects, so that its
// requests must not be repeated unless the service is repeatable.
func isUnsafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return true
}

// readIdempotencyKey reads the idempotency key. It is required for requests that
// must not run twice.
func (r *Request) readIdempotencyKey(hr *http.Request, window time.Duration) *core.Refusal {
	keys := hr.Header.Values(idempotencyHeader)
	switch {
	case len(keys) > 1:
		return refuse(core.CodeBadRequest, "more than one Idempotency-Key")
	case len(keys) == 1 && len(keys[0]) > maxIdempotencyKeyBytes:
		return refuse(core.CodeBadRequest, "the Idempotency-Key is longer than 255 bytes")
	case len(keys) == 1:
		r.IdempotencyKey = keys[0]
	}
	if r.Repeatable {
		return nil
	}
	if refusal, ok := claim.CheckKey(r.IdempotencyKey, r.ServiceInfo.TimedKeysOnly, window, r.Arrived); !ok {
		return &refusal
	}
	return nil
}

// setBody sets the body and the two hashes of the request: RequestHash and
// Fingerprint.
func (r *Request) setBody(body []byte, free func()) {
	r.Body, r.freeBody = body, free
	h := sha256.New()
	d := xxhash.New()
	for _, part := range []string{r.Organisation, r.Service, r.Method, r.Path} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(part))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	_, _ = h.Write(body)
	_, _ = d.Write(body)
	copy(r.RequestHash[:], h.Sum(nil))
	r.Fingerprint = d.Sum64()
}

func bodyLimit(s core.Service) int64 {
	if s.MaxBodyBytes <= 0 {
		return DefaultMaxBodyBytes
	}
	return min(s.MaxBodyBytes, MaxBodyBytes)
}

// modelBodyLimit returns the largest body limit of all model services. The service
// is not known before the body has been read, since the body names the model.
func modelBodyLimit(cfg core.Configuration) int64 {
	var limit int64
	for _, s := range cfg.Services {
		if s.Kind == core.ServiceModel {
			limit = max(limit, bodyLimit(s))
		}
	}
	if limit == 0 {
		return DefaultMaxBodyBytes
	}
	return limit
}
