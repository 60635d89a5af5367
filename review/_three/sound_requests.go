package main

import (
	"context"
	"slices"
	"time"
)

// Settings of the case of sound requests after a part of a prompt has crashed all engines at
// once.
const (
	soundGateways  = 3
	soundEngines   = 4
	soundPerSecond = 16
	soundBurst     = 24
	soundBefore    = 8 * time.Second
	// soundBadPause is the time after the burst without requests with the part, and
	// soundBadTime that until the last one. They come soundBadEvery.
	soundBadPause   = 5500 * time.Millisecond
	soundBadEvery   = 500 * time.Millisecond
	soundBadTime    = 8 * time.Second
	minSoundCounted = 20
)

// sheetAnswers are the settings of engines whose answers have as many events as on the sheets,
// with pauses a little below the longest one that is on time.
var sheetAnswers = engineConfig{events: 24, gap: 115 * time.Millisecond, down: 4500 * time.Millisecond}

// soundRequests lets requests with a part that crashes engines arrive at once, and then some
// more of them, beside sound requests with the same first part.
func soundRequests(r *record, trouble bool) (bool, error) {
	d, engines, err := newDraftDeployment(r, []string{"z1", "z2", "z3"}[:soundGateways], soundEngines, sheetAnswers, trouble)
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
	c := &draftCallers{d: d, log: newRequestLog()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	begun := time.Now()
	go func() { defer close(done); c.sound(ctx, soundPerSecond) }()
	time.Sleep(soundBefore)
	go c.burst(soundBurst)
	burstAt := time.Now()
	time.Sleep(soundBadPause)
	for n := 0; time.Since(burstAt) < soundBadTime; n++ {
		time.Sleep(soundBadEvery)
		go c.send(badKind, int64(n), "5eed0001:40,"+badPart+":200")
	}
	time.Sleep(time.Second)
	cancel()
	<-done
	return judgeSound(r, engines, c, begun, burstAt), nil
}

// judgeSound reports whether sound requests began at their first attempt less than half as
// often as before, from twice the stable window after the fifth crash (the last, if there are
// fewer) until the last request with the part.
func judgeSound(r *record, engines []*engineServer, c *draftCallers, begun, burstAt time.Time) bool {
	var crashes []time.Time
	for _, e := range engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	ran := reachedEngines(engines)
	c.log.addTo(r, ran)
	slices.SortFunc(crashes, time.Time.Compare)
	for _, at := range crashes {
		r.add("an engine crashed at %.3f s", r.since(at))
	}
	counted := burstAt
	if len(crashes) > 0 {
		counted = crashes[min(len(crashes), crashesToCount)-1]
	}
	r.add("answers: %v", c.log.counts())
	var lastBad time.Time
	for _, s := range c.log.all() {
		if s.kind == badKind && s.sent.After(lastBad) {
			lastBad = s.sent
		}
	}
	share := func(from, to time.Time) (float64, int) {
		n, served := 0, 0
		for _, s := range c.log.all() {
			if s.kind == badKind || s.sent.Before(from) || s.sent.After(to) {
				continue
			}
			n++
			if len(ran[s.id]) > 0 {
				served++
			}
		}
		r.add("sound requests sent from %.3f s to %.3f s: %d, of which %d have begun to run", r.since(from), r.since(to), n, served)
		return float64(served) / float64(max(1, n)), n
	}
	before, n1 := share(begun, burstAt.Add(-time.Second))
	after, n2 := share(counted.Add(2*stableWindow), lastBad)
	return n1 >= minSoundCounted && n2 >= minSoundCounted && after < before/2
}
