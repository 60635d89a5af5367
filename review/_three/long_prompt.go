package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

// Settings of the case of a part that crashes engines and stands late in long prompts.
const (
	longGateways  = 2
	longEngines   = 6
	longParts     = 70
	longInterval  = 1500 * time.Millisecond
	longRequests  = 22
	longRunBefore = 4 * time.Second
)

// longPrompt sends requests one after the other whose prompts have many parts, one of which
// crashes engines.
func longPrompt(r *record, trouble bool) (bool, error) {
	d, engines, err := newDraftDeployment(r, []string{"z1", "z2"}[:longGateways], longEngines, shortAnswers, trouble)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, e := range engines {
		defer e.close()
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	parts := longParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	c := &draftCallers{d: d, statuses: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.sound(ctx, soundRate) }()
	time.Sleep(longRunBefore)
	for n := range longRequests {
		go c.send("bad", int64(n), longPrefix(parts))
		time.Sleep(longInterval)
	}
	time.Sleep(shortAnswers.down)
	cancel()
	<-done
	return judgePart(r, engines, c), nil
}

// longPrefix returns the shared parts of a long prompt. All but the first one and badPart are
// parts of this prompt only.
func longPrefix(count int) string {
	parts := []string{"5eed0001:40"}
	for range count - 2 {
		parts = append(parts, fmt.Sprintf("%08x:9", rand.Uint32()))
	}
	return strings.Join(append(parts, badPart+":60"), ",")
}
