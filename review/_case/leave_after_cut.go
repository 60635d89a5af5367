package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"nutmegnotch/emulator/runner"
)

// Course of leaveAfterCut. In each round the gateway is cut off from the store for cutTime. A
// runner leaves leaveDelay after the end of the cut, by the removal of its entry, and goes on for
// serveTime.
const (
	cutRounds  = 5
	cutTime    = 4300 * time.Millisecond
	restTime   = 4 * time.Second
	leaveDelay = 900 * time.Millisecond
	// drainTime is drain_ms.
	drainTime    = 2 * time.Second
	serveTime    = 2500 * time.Millisecond
	afterTime    = 5 * time.Second
	leaveClients = 12
	leaveWork    = 60 * time.Millisecond
	pauseTime    = 40 * time.Millisecond
)

// desk is a runner that can leave.
type desk struct {
	*runner.Runner
	id string
	// unlist ends the writing of its entry.
	unlist context.CancelFunc
}

// leaveAfterCut cuts the gateway off from the store and lets a runner leave right after the
// cut, while clients book.
func leaveAfterCut(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{}
	defer d.close()
	s := &silencer{}
	var err error
	if d.store, err = startStore(); err != nil {
		return false, err
	}
	s.store = d.store.Store
	d.store.server.Handler = s
	d.store.PutJSON("keyed.op", "config", config(route{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 1}))
	var desks []*desk
	for range deskRunners {
		x, err := d.startDesk(ctx, len(desks))
		if err != nil {
			return false, err
		}
		desks = append(desks, x)
	}
	if d.gateway, err = startGateway(r.dir, "front-"+zone+"-1", d.store.address); err != nil {
		return false, err
	}
	if err := d.gateway.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	got := map[string]answer{}
	var wg sync.WaitGroup
	for i := range leaveClients {
		wg.Go(func() {
			for id, a := range d.bookOn(i, stop) {
				mu.Lock()
				got[id] = a
				mu.Unlock()
			}
		})
	}
	var leaves []leave
	for range cutRounds {
		time.Sleep(restTime)
		l, next, err := d.cutAndLeave(ctx, r, s, desks)
		if err != nil {
			close(stop)
			return false, err
		}
		leaves, desks = append(leaves, l), append(desks, next)
	}
	close(stop)
	wg.Wait()
	return countLate(r, got, leaves) > 0, nil
}

// startDesk starts the n-th runner of bookings and registers it.
func (d *deployment) startDesk(ctx context.Context, n int) (*desk, error) {
	ctx, cancel := context.WithCancel(ctx)
	x, err := d.startRunner(ctx, "desk", deskSlots, runner.Config{ID: fmt.Sprintf("i-desk-%d", n), Body: "booked", ProcessingTime: leaveWork})
	if err != nil {
		cancel()
		return nil, err
	}
	d.desks = append(d.desks, x)
	return &desk{Runner: x, id: fmt.Sprintf("i-desk-%d", n), unlist: cancel}, nil
}

// leave is what a round does, with the time of each step.
type leave struct {
	desk *desk
	// back is the end of the cut, gone when the removal of the entry was acknowledged, and
	// ended when the runner ended.
	back, gone, ended time.Time
}

// cutAndLeave makes one round: the oldest runner leaves, and a new one is started before. It
// returns the new one.
func (d *deployment) cutAndLeave(ctx context.Context, r *run, s *silencer, desks []*desk) (leave, *desk, error) {
	l := leave{desk: desks[len(desks)-deskRunners]}
	if r.trouble {
		s.set(true)
	}
	time.Sleep(cutTime)
	s.set(false)
	l.back = time.Now()
	next, err := d.startDesk(ctx, len(desks))
	if err != nil {
		return l, nil, err
	}
	time.Sleep(time.Until(l.back.Add(leaveDelay)))
	l.desk.unlist()
	d.store.Put("keyed.servers", l.desk.id, nil)
	l.gone = time.Now()
	time.Sleep(serveTime)
	l.ended = time.Now()
	l.desk.Close()
	time.Sleep(time.Until(l.back.Add(afterTime)))
	return l, next, nil
}

// bookOn sends bookings one after the other until stop is closed, over a connection that it
// keeps while it can.
func (d *deployment) bookOn(client int, stop <-chan struct{}) map[string]answer {
	out := map[string]answer{}
	for n := 0; ; n++ {
		c, err := dialClient(d.gateway.caller)
		if err != nil {
			return out
		}
		for complete := true; complete; n++ {
			select {
			case <-stop:
				c.conn.Close()
				return out
			default:
			}
			id := fmt.Sprintf("book-%d-%d", client, n)
			a := c.do(clientRequest{id: id, method: http.MethodPost, path: bookPath, deadline: deskTimeout, body: []byte("book a dispatch")})
			out[id] = a
			complete = a.complete
			time.Sleep(pauseTime)
		}
		c.conn.Close()
	}
}

// countLate returns the number of bookings that reached a runner later than drain_ms after the
// store had acknowledged that it was gone, sent while the gateway was in touch.
func countLate(r *run, got map[string]answer, leaves []leave) int {
	late, lost := 0, 0
	for i, l := range leaves {
		due := l.gone.Add(drainTime)
		if inTouch := l.back.Add(stableWindow); r.trouble && inTouch.After(due) {
			due = inTouch
		}
		lateHere, lostHere := 0, 0
		var last time.Time
		for _, x := range l.desk.Runs() {
			a, ok := got[x.ID]
			if !ok || !a.sentAt.After(due) || !x.At.After(due) {
				continue
			}
			lateHere++
			if x.At.After(last) {
				last = x.At
			}
			if a.status != http.StatusOK || !a.complete {
				lostHere++
				r.record.add("%s: reached %s %.3f s after its entry was removed; %v", x.ID, l.desk.id, x.At.Sub(l.gone).Seconds(), a)
			}
		}
		if lateHere > 0 {
			r.record.add("round %d: %s left %.3f s after the end of the cut and ended %.3f s later; %d bookings reached it later than %v after it had left, the last one after %.3f s; %d of them got no success",
				i+1, l.desk.id, l.gone.Sub(l.back).Seconds(), l.ended.Sub(l.gone).Seconds(), lateHere, due.Sub(l.gone).Round(time.Millisecond), last.Sub(l.gone).Seconds(), lostHere)
		}
		late, lost = late+lateHere, lost+lostHere
	}
	r.record.add("bookings sent: %d", len(got))
	r.record.add("bookings that reached a runner too late: got %d, want 0; of them without a success: %d", late, lost)
	return late
}
