package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// Settings of the case of a failure domain that is taken back while its server is cold.
const (
	coldBackRate  = 240
	coldBackTimes = 9
	// evacuated is how long the domain is evacuated at least, and maxLonger how much longer it
	// is at most. coldBackPause is the time before it.
	evacuated     = 4 * time.Second
	maxLonger     = time.Second
	coldBackPause = 3 * time.Second
	// coldBefore is how long before the end of the evacuation the server has written that it
	// is cold.
	coldBefore = 50 * time.Millisecond
)

// coldBack evacuates a failure domain and takes it back when its server has become cold.
func coldBack(r *record, trouble bool) (bool, error) {
	d, servers, err := newDeskDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startGateways(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoad(d, "c", lookupPath, reservePath, 4*time.Second)
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx, coldBackRate) }()
	for range coldBackTimes {
		time.Sleep(coldBackPause)
		d.store.Put("keyed.op", "evacuate/"+servers[1].zone, []byte("{}"))
		r.add("%s is evacuated", servers[1].zone)
		time.Sleep(evacuated + rand.N(maxLonger))
		if trouble {
			servers[1].becomeCold()
		}
		time.Sleep(coldBefore)
		d.store.Put("keyed.op", "evacuate/"+servers[1].zone, nil)
		r.add("%s is taken back", servers[1].zone)
	}
	time.Sleep(coldBackPause)
	cancel()
	<-done
	return judgeCold(r, servers, servers[1], l), nil
}
