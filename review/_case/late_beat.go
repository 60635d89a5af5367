package main

import (
	"context"
	"fmt"
	"time"

	"nutmegnotch/emulator/runner"
)

// Course of lateBeat. One beat of a runner gets no answer from the store, which carries it out
// lateBy later. The disruption of the store ends lostTime after that beat. leftAfter its end the
// runner leaves by the removal of its entry, and it goes on for lateServeTime.
const (
	lateBy        = 5900 * time.Millisecond
	lostTime      = 100 * time.Millisecond
	leftAfter     = 3200 * time.Millisecond
	lateServeTime = 5 * time.Second
	lateClients   = 12
	lateWork      = 60 * time.Millisecond
	lateID        = "i-desk-0"
)

// lateBeat lets a beat of a runner reach the store late, after the runner has left.
func lateBeat(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{}
	defer d.close()
	var err error
	if d.store, err = startStore(); err != nil {
		return false, err
	}
	d.store.PutJSON("keyed.op", "config", config(route{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 1}))
	leaving, err := runner.New(runner.Config{ID: lateID, Body: "booked", ProcessingTime: lateWork})
	if err != nil {
		return false, fmt.Errorf("start runner: %w", err)
	}
	d.desks = append(d.desks, leaving)
	for i := range deskRunners {
		if _, err := d.startDesk(ctx, i+1); err != nil {
			return false, err
		}
	}
	beats := &lateBeats{store: d.store, entry: entry("desk", leaving.Address(), deskSlots)}
	beats.write()
	if d.gateway, err = startGateway(r.dir, "front-"+zone+"-1", d.store.address); err != nil {
		return false, err
	}
	if err := d.gateway.waitReady(); err != nil {
		return false, err
	}
	for range 3 {
		time.Sleep(heartbeatInterval)
		beats.write()
	}
	stop := make(chan struct{})
	got := make(chan map[string]answer, lateClients)
	for i := range lateClients {
		go func() { got <- d.bookOn(i, stop) }()
	}
	l := beats.leave(r, leaving)
	time.Sleep(time.Second)
	close(stop)
	all := map[string]answer{}
	for range lateClients {
		for id, a := range <-got {
			all[id] = a
		}
	}
	return countLate(r, all, []leave{l}) > 0, nil
}

// lateBeats writes the entry of one runner.
type lateBeats struct {
	store *store
	entry func(seq int) map[string]any
	seq   int
}

func (b *lateBeats) write() {
	b.seq++
	b.store.PutJSON("keyed.servers", lateID, b.entry(b.seq))
}

// leave makes the runner leave after a beat that the store carries out late.
func (b *lateBeats) leave(r *run, x *runner.Runner) leave {
	time.Sleep(heartbeatInterval)
	sent := time.Now()
	b.seq++
	late := b.entry(b.seq)
	if r.trouble {
		r.record.add("the beat %d of %s gets no answer; the store will carry it out %v later", b.seq, lateID, lateBy)
	} else {
		b.store.PutJSON("keyed.servers", lateID, late)
	}
	back := sent.Add(lostTime)
	gone := back.Add(leftAfter)
	for next := sent.Add(heartbeatInterval); next.Before(gone); next = next.Add(heartbeatInterval) {
		time.Sleep(time.Until(next))
		b.write()
	}
	time.Sleep(time.Until(gone))
	b.store.Put("keyed.servers", lateID, nil)
	l := leave{desk: &desk{Runner: x, id: lateID}, back: back, gone: time.Now()}
	r.record.add("%s leaves by the removal of its entry, after its beat %d", lateID, b.seq)
	time.Sleep(time.Until(sent.Add(lateBy)))
	if r.trouble {
		b.store.PutJSON("keyed.servers", lateID, late)
		r.record.add("the store carries out the late beat")
	}
	time.Sleep(time.Until(l.gone.Add(lateServeTime)))
	l.ended = time.Now()
	x.Close()
	return l
}
