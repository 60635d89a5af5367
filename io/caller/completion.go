package caller

import (
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerPromptToken is the estimated size of a prompt token.
	bytesPerPromptToken = 4
	// prefixBytes is how much of the start of a prompt is hashed to route requests
	// with an equal prefix to the same prefix cache. Prompts shorter than
	// minPrefixBytes gain too little from a cache hit.
	prefixBytes    = 256
	minPrefixBytes = 64
)

// completion is the part of a completion request that the entry needs.
type completion struct {
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int64          `json:"max_tokens"`
	Priority  *int            `json:"priority"`
	prompt    prompt
}

// prompt is text, or a number of tokens when the caller sent token ids.
type prompt struct {
	text []byte
	ids  int64
}

// parseCompletion parses a completion request. Its errors are sent to the caller
// and never quote the body.
func parseCompletion(body []byte) (completion, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, errors.New("the body is not a valid completion request in JSON")
	}
	if c.Model == "" {
		return c, errors.New("the field model is missing")
	}
	if c.MaxTokens != nil && *c.MaxTokens < 1 {
		return c, errors.New("max_tokens is less than 1")
	}
	p, ok := parsePrompt(c.Prompt)
	if !ok {
		return c, errors.New("prompt is neither a text, nor a list of texts, nor a list of token ids")
	}
	c.prompt = p
	c.Prompt = nil
	return c, nil
}

func parsePrompt(raw json.RawMessage) (prompt, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return prompt{text: []byte(text)}, true
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		var all []byte
		for _, t := range texts {
			all = append(all, t...)
		}
		return prompt{text: all}, true
	}
	var ids []int64
	if json.Unmarshal(raw, &ids) == nil {
		return prompt{text: raw, ids: int64(len(ids))}, true
	}
	return prompt{}, false
}

func (p prompt) tokens() int64 {
	if p.ids > 0 {
		return p.ids
	}
	return int64(len(p.text)+bytesPerPromptToken-1) / bytesPerPromptToken
}

// prefixHash returns a hash of the start of the prompt, the model and the adapter.
// It returns 0 if the prompt is shorter than minPrefixBytes.
func (p prompt) prefixHash(model, adapter string) uint64 {
	if len(p.text) < minPrefixBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(adapter)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(p.text[:min(len(p.text), prefixBytes)])
	return max(1, d.Sum64())
}
