package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of uploadMemory. The zone antioquia-a of the site has 33 clients and one gateway, and a
// burst of the site is 1.7 times the traffic: 56 clients, of which 40 send bodies and 16 book.
const (
	uploaders      = 40
	uploadBytes    = maxBodyBytes
	uploadBitRate  = 10e6
	uploadPieces   = 64
	uploadsInTurn  = 6
	bookingClients = 16
	bookingWork    = 100 * time.Millisecond
	engineRunners  = 12
	deskRunners    = 3
	memoryInterval = 5 * time.Millisecond
	// allowedLosses is the number of requests that the rule LOST lets a machine lose.
	allowedLosses = 3
)

// uploadMemory lets clients send bodies of max_body_bytes while others book over kept
// connections. As the platform does, it kills the gateway when its memory exceeds memory_mb.
func uploadMemory(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := startDeployment(ctx, r, deploymentConfig{engines: engineRunners, events: 24, eventInterval: 45 * time.Millisecond, desks: deskRunners, deskWork: bookingWork})
	defer d.close()
	if err != nil {
		return false, err
	}
	var killed atomic.Bool
	var peak atomic.Int64
	go enforceMemory(ctx, r, d.gateway, &killed, &peak)
	stop := make(chan struct{})
	var bookings sync.WaitGroup
	var mu sync.Mutex
	got := map[string]answer{}
	for i := range bookingClients {
		bookings.Go(func() {
			// The clients do not book in step.
			time.Sleep(time.Duration(i) * bookingWork / bookingClients)
			for id, a := range d.book(i, stop) {
				mu.Lock()
				got[id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(stableWindow + time.Second)
	atOnce := uploadsInTurn
	if r.trouble {
		atOnce = uploaders
	}
	r.record.add("%d clients send a body of %d bytes each at %.0f Mbit/s, %d at once; memory of the gateway: %d MB", uploaders, uploadBytes, uploadBitRate/1e6, atOnce, residentMB(d.gateway.cmd.Process.Pid))
	statuses := d.upload(atOnce)
	close(stop)
	bookings.Wait()
	for status, n := range statuses {
		r.record.add("uploads that ended with %s: %d", status, n)
	}
	r.record.add("highest memory of the gateway: %d MB of %d; killed by the platform: %t", peak.Load(), gatewayMemoryMB, killed.Load())
	return d.countLost(r, got) > allowedLosses, nil
}

// book sends bookings one after the other over a kept connection until stop is closed or the
// connection ends.
func (d *deployment) book(client int, stop <-chan struct{}) map[string]answer {
	out := map[string]answer{}
	c, err := dialClient(d.gateway.caller)
	if err != nil {
		return out
	}
	defer c.conn.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return out
		default:
		}
		id := fmt.Sprintf("book-%d-%d", client, n)
		a := c.do(clientRequest{id: id, method: http.MethodPost, path: bookPath, deadline: deskTimeout, body: []byte("book a dispatch")})
		out[id] = a
		if !a.complete {
			return out
		}
	}
}

// upload sends the bodies of all uploaders, atOnce at a time, and returns how many ended in
// which way.
func (d *deployment) upload(atOnce int) map[string]int {
	out := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range uploaders {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			a := d.uploadOne(fmt.Sprintf("draft-%d", i))
			mu.Lock()
			defer mu.Unlock()
			out[fmt.Sprintf("status %d, complete %t", a.status, a.complete)]++
		})
	}
	wg.Wait()
	return out
}

func (d *deployment) uploadOne(id string) answer {
	var a answer
	c, err := dialClient(d.gateway.caller)
	if err != nil {
		a.err = err
		return a
	}
	defer c.conn.Close()
	body := make([]byte, uploadBytes)
	q := clientRequest{id: id, method: http.MethodPost, path: draftPath, deadline: draftTimeout, body: body}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c.conn, q.head()); err != nil {
		a.err = err
		return a
	}
	piece := uploadBytes / uploadPieces
	begun := time.Now()
	for n := 0; n < uploadBytes; n += piece {
		if _, err := c.conn.Write(body[n : n+piece]); err != nil {
			break
		}
		time.Sleep(time.Until(begun.Add(time.Duration(float64(n+piece) * 8 / uploadBitRate * float64(time.Second)))))
	}
	a.sentAt = time.Now()
	c.read(q.method, &a)
	a.endedAt = time.Now()
	return a
}

// countLost returns the number of bookings that were passed on to a runner over a kept
// connection which then ended without an answer.
func (d *deployment) countLost(r *run, got map[string]answer) int {
	ran := runs(d.desks)
	lost, served := 0, 0
	for id, a := range got {
		if a.complete {
			served++
			continue
		}
		_, passedOn := ran[id]
		first := strings.HasSuffix(id, "-0")
		r.record.add("%s: %v; passed on to a runner: %t; first on its connection: %t", id, a, passedOn, first)
		if passedOn && !first {
			lost++
		}
	}
	r.record.add("bookings answered: %d; passed on to a runner and then closed without an answer: got %d, want at most %d", served, lost, allowedLosses)
	return lost
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory.
func enforceMemory(ctx context.Context, r *run, g *gateway, killed *atomic.Bool, peak *atomic.Int64) {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.exited:
			return
		case <-t.C:
		}
		mb := residentMB(g.cmd.Process.Pid)
		peak.Store(max(peak.Load(), int64(mb)))
		if mb > gatewayMemoryMB {
			killed.Store(true)
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			r.record.add("the gateway uses %d MB, its memory_mb is %d: the platform kills it", mb, gatewayMemoryMB)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MiB, or 0 if it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}
