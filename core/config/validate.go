package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"

	"nutmegnotch/core"
)

// Limits of configuration values.
const (
	maxListLen           = 1024
	maxEntrySetLen       = 4096
	maxRequestsPerSecond = 1e7
	maxTokensPerSecond   = 1e10
	maxConcurrency       = 1_000_000
	maxTokens            = 1 << 40
	maxBytes             = 1 << 40
	maxTimeMS            = 24 * 60 * 60 * 1000
	maxPriority          = 100
	maxWeight            = 1000
	sha256HexLen         = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// value is the decoded value of an object. Exactly one of the pointers is set.
type value struct {
	canonical json.RawMessage
	contract  *core.Contract
	service   *core.Service
	domain    *core.Domain
	team      *core.Team
	entrySet  *core.EntrySet
}

// ParseObjectName splits the name of an object, kind/name, and validates both
// parts.
func ParseObjectName(object string) (kind, name string, err error) {
	kind, name, _ = strings.Cut(object, "/")
	switch kind {
	case core.KindContract, core.KindService, core.KindDomain, core.KindTeam:
	case core.KindEntrySet:
		if object != core.ObjectEntrySet {
			return "", "", fmt.Errorf("object %q: the only entry set is %q: %w", object, core.ObjectEntrySet, core.ErrInvalid)
		}
	default:
		return "", "", fmt.Errorf("object %q: kind must be contract, service, domain, team or entry_set: %w", object, core.ErrInvalid)
	}
	if !namePattern.MatchString(name) {
		return "", "", fmt.Errorf("object %q: name must match %s: %w", object, namePattern, core.ErrInvalid)
	}
	return kind, name, nil
}

// Validate validates the JSON value of an object and returns its canonical
// form.
func Validate(object string, data []byte) (json.RawMessage, error) {
	v, err := decodeValue(object, data)
	return v.canonical, err
}

func decodeValue(object string, data []byte) (value, error) {
	kind, name, err := ParseObjectName(object)
	if err != nil {
		return value{}, err
	}
	var v value
	var target any
	switch kind {
	case core.KindContract:
		v.contract = &core.Contract{}
		target = v.contract
	case core.KindService:
		v.service = &core.Service{}
		target = v.service
	case core.KindDomain:
		v.domain = &core.Domain{}
		target = v.domain
	case core.KindTeam:
		v.team = &core.Team{}
		target = v.team
	default:
		v.entrySet = &core.EntrySet{}
		target = v.entrySet
	}
	if err := decodeStrict(data, target); err != nil {
		return value{}, fmt.Errorf("object %q: %w: %w", object, err, core.ErrInvalid)
	}
	if err := v.check(name); err != nil {
		return value{}, fmt.Errorf("object %q: %w", object, err)
	}
	if v.canonical, err = json.Marshal(target); err != nil {
		return value{}, fmt.Errorf("object %q: %w: %w", object, err, core.ErrInvalid)
	}
	return v, nil
}

// decodeStrict decodes exactly one JSON object and rejects unknown members.
func decodeStrict(data []byte, target any) error {
	if t := bytes.TrimSpace(data); len(t) == 0 || t[0] != '{' {
		return fmt.Errorf("value must be a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("value is followed by more data")
	}
	return nil
}

func (v value) check(name string) error {
	switch {
	case v.contract != nil:
		return checkContract(*v.contract, name)
	case v.service != nil:
		return checkService(*v.service, name)
	case v.domain != nil:
		return checkDomain(*v.domain, name)
	case v.team != nil:
		return checkTeam(*v.team, name)
	}
	return checkEntrySet(*v.entrySet)
}

// checker keeps the error of the first rule that does not hold.
type checker struct{ err error }

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), core.ErrInvalid)
	}
}

func (c *checker) name(key, got, want string) {
	c.require(got == want, "%s is %q, it must be %q as in the object name", key, got, want)
}

func (c *checker) integer(key string, v, lo, hi int64) {
	c.require(v >= lo && v <= hi, "%s is %d, allowed are %d to %d", key, v, lo, hi)
}

func (c *checker) number(key string, v, hi float64) {
	c.require(!math.IsNaN(v) && v > 0 && v <= hi, "%s is %g, allowed are numbers above 0 up to %g", key, v, hi)
}

func (c *checker) names(key string, list []string, star bool) {
	c.require(len(list) <= maxListLen, "%s has %d entries, at most %d are allowed", key, len(list), maxListLen)
	seen := map[string]bool{}
	for _, s := range list {
		c.require(namePattern.MatchString(s) || star && s == "*", "%s holds %q, names must match %s", key, s, namePattern)
		c.require(!seen[s], "%s holds %q twice", key, s)
		seen[s] = true
	}
}

func (c *checker) hash(key, h string) {
	_, err := hex.DecodeString(h)
	c.require(err == nil && len(h) == sha256HexLen && strings.ToLower(h) == h,
		"%s must be a SHA-256 in %d lower-case hexadecimal digits", key, sha256HexLen)
}

func checkContract(v core.Contract, name string) error {
	var c checker
	c.name("organisation", v.Organisation, name)
	c.require(len(v.CallerKeyHashes) <= maxListLen, "caller_key_hashes has more than %d entries", maxListLen)
	seen := map[string]bool{}
	for _, h := range v.CallerKeyHashes {
		c.hash("caller_key_hashes", h)
		c.require(!seen[h], "caller_key_hashes holds a hash twice")
		seen[h] = true
	}
	c.names("services", v.Services, false)
	c.number("requests_per_second", v.RequestsPerSecond, maxRequestsPerSecond)
	c.number("tokens_per_second", v.TokensPerSecond, maxTokensPerSecond)
	c.integer("concurrency", int64(v.Concurrency), 1, maxConcurrency)
	c.integer("reply_time_ms", v.ReplyTimeMS, 1, maxTimeMS)
	c.integer("reply_memory_bytes", v.ReplyMemoryBytes, 1, maxBytes)
	c.integer("max_priority", int64(v.MaxPriority), 0, maxPriority)
	c.integer("weight", int64(v.Weight), 1, maxWeight)
	return c.err
}

func checkService(v core.Service, name string) error {
	var c checker
	c.name("name", v.Name, name)
	switch v.Kind {
	case core.ServiceModel:
		c.require(len(v.Models) > 0, "models must not be empty for a model service")
		c.require(v.PathPrefix == "", "path_prefix contradicts kind \"model\"")
		c.require(v.Repeatable, "repeatable must be true for a model service")
		c.integer("max_output_tokens", v.MaxOutputTokens, 1, maxTokens)
		c.integer("bytes_per_token", v.BytesPerToken, 1, maxBytes)
	case core.ServicePlain:
		c.require(len(v.Models) == 0, "models contradicts kind \"plain\"")
		c.require(strings.HasPrefix(v.PathPrefix, "/"), "path_prefix is %q, it must start with \"/\"", v.PathPrefix)
		c.integer("max_output_tokens", v.MaxOutputTokens, 0, maxTokens)
		c.integer("bytes_per_token", v.BytesPerToken, 0, maxBytes)
	default:
		c.require(false, "kind is %q, it must be \"model\" or \"plain\"", v.Kind)
	}
	c.require(!v.TimedKeysOnly || !v.Repeatable, "timed_keys_only contradicts repeatable")
	c.names("models", v.Models, false)
	c.integer("max_concurrency", int64(v.MaxConcurrency), 1, maxConcurrency)
	c.integer("cold_concurrency", int64(v.ColdConcurrency), 1, int64(v.MaxConcurrency))
	c.integer("memory_tokens", v.MemoryTokens, 1, maxTokens)
	c.integer("cold_tokens", v.ColdTokens, 1, v.MemoryTokens)
	c.integer("max_body_bytes", v.MaxBodyBytes, 1, maxBytes)
	c.integer("max_reply_bytes", v.MaxReplyBytes, 1, maxBytes)
	c.integer("request_timeout_ms", v.RequestTimeoutMS, 1, maxTimeMS)
	return c.err
}

func checkDomain(v core.Domain, name string) error {
	var c checker
	c.name("name", v.Name, name)
	c.require(v.State == core.DomainActive || v.State == core.DomainDrained,
		"state is %q, it must be \"active\" or \"drained\"", v.State)
	return c.err
}

func checkTeam(v core.Team, name string) error {
	var c checker
	c.name("name", v.Name, name)
	c.hash("token_hash", v.TokenHash)
	c.names("organisations", v.Organisations, true)
	return c.err
}

func checkEntrySet(v core.EntrySet) error {
	var c checker
	c.integer("number of entries", int64(len(v.Entries)), 1, maxEntrySetLen)
	seen := map[string]bool{}
	for _, e := range v.Entries {
		c.require(namePattern.MatchString(e.ID), "entry id %q must match %s", e.ID, namePattern)
		c.require(!seen[e.ID], "entry id %q appears twice", e.ID)
		_, err := netip.ParseAddrPort(e.Address)
		c.require(err == nil, "entry %q: address %q must be an IP number and a port", e.ID, e.Address)
		seen[e.ID] = true
	}
	return c.err
}
