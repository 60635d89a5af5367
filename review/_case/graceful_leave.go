package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Course of gracefulLeave. Of the clients one in five leaves, half the objective of the route
// after it has sent its request: the figures of give_up.
const (
	leaveClients = 60
	leaveShare   = 5
	leaveAfter   = deskObjective / 2
	leaveWork    = 100 * time.Millisecond
	// lingerTime is how long a client that has left reads what still comes.
	lingerTime = 2 * time.Second
)

// gracefulLeave lets clients of bookings leave in the usual orderly way: they close their side
// of the connection and read what still comes until the other side has closed too.
func gracefulLeave(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := startDeployment(ctx, r, deploymentConfig{desks: 3, deskWork: leaveWork})
	defer d.close()
	if err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	answers := make([]answer, leaveClients)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * leaveWork / 4)
			answers[i] = d.bookOnce(bookID(i), r.trouble && leaves(i))
		})
	}
	wg.Wait()
	return countUnsealed(r, d, answers) > 0, nil
}

func bookID(i int) string { return fmt.Sprintf("book-%d", i) }

func leaves(i int) bool { return i%leaveShare == 0 }

// bookOnce sends one booking over a new connection. If leave is set, the client leaves
// leaveAfter later.
func (d *deployment) bookOnce(id string, leave bool) answer {
	c, err := dialClient(d.gateway.caller)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	q := clientRequest{id: id, method: http.MethodPost, path: bookPath, deadline: deskTimeout, body: []byte("book a dispatch")}
	if !leave {
		return c.do(q)
	}
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(lingerTime))
	if _, a.err = io.WriteString(c.conn, q.head()+string(q.body)); a.err != nil {
		return a
	}
	a.sentAt = time.Now()
	time.Sleep(leaveAfter)
	side, ok := c.conn.(*net.TCPConn)
	if !ok {
		a.err = errors.New("not a TCP connection")
		return a
	}
	if a.err = side.CloseWrite(); a.err != nil {
		return a
	}
	c.read(q.method, &a)
	a.endedAt = time.Now()
	return a
}

// countUnsealed returns the number of successes without the runner's seal.
func countUnsealed(r *run, d *deployment, answers []answer) int {
	ran := runs(d.desks)
	unsealed := 0
	for i, a := range answers {
		_, hasRun := ran[bookID(i)]
		r.record.add("%s: leaves %t; %v; reached a runner: %t", bookID(i), r.trouble && leaves(i), a, hasRun)
		if a.status >= 200 && a.status < 300 && !a.sealed {
			unsealed++
		}
	}
	r.record.add("successes without the runner's seal: got %d, want 0", unsealed)
	return unsealed
}
