package main

import (
	"context"
	"time"
)

// Settings of the case of a server that becomes cold again while it serves.
const (
	coldAgainRate  = 240
	coldAgainTimes = 3
	coldAgainPause = 7 * time.Second
)

// coldAgain lets a server become cold again and say so in its entry at once.
func coldAgain(r *record, trouble bool) (bool, error) {
	d, servers, err := newDeskDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startGateways(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoad(d, "c", "/lookup/", 4*time.Second)
	l.postPath = "/reserve/"
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx, coldAgainRate) }()
	for range coldAgainTimes {
		time.Sleep(coldAgainPause)
		if trouble {
			servers[1].becomeCold()
		}
	}
	time.Sleep(coldAgainPause)
	cancel()
	<-done
	return judgeCold(r, servers[1], l), nil
}
