package runner

import "time"

// FallSilent makes the Runner send nothing for a time and then go on with all it has.
func (r *Runner) FallSilent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quietUntil = time.Now().Add(d)
}

// awaitQuiet waits until the Runner sends again.
func (r *Runner) awaitQuiet() {
	for {
		r.mu.Lock()
		d := time.Until(r.quietUntil)
		r.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}
