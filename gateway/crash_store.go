package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
)

// Timing of the crash records in the store.
const (
	crashesReadWait    = 20 * time.Second
	crashWriteInterval = 200 * time.Millisecond
	// crashSaveDelay is how long a crash is kept from the store: most requests that
	// were on a server that ended are served by another one meanwhile. Crashes of a
	// quarantined request are saved at once.
	crashSaveDelay = time.Second
	// peerSaveDelay and peerSaveSpread apply to what other gateways have seen. They
	// save it themselves, unless they end before.
	peerSaveDelay  = 4 * time.Second
	peerSaveSpread = 2 * time.Second
	// clearedRemoveSpread is the time within which a record that another gateway has
	// saved is removed, if the request was served meanwhile.
	clearedRemoveSpread = 500 * time.Millisecond
	// crashExpiryInterval is the interval at which old crashes are dropped. Their
	// records are removed within that time, by the gateway that comes first.
	crashExpiryInterval = time.Minute
)

func saveDelay(source string, blocked bool) time.Duration {
	switch {
	case source != sourceSelf:
		return peerSaveDelay + time.Duration(rand.Int64N(int64(peerSaveSpread)))
	case blocked:
		return 0
	}
	return crashSaveDelay
}

// saveAgainDelay is the delay after which a crash that the store has lost is saved again.
// All gateways hold it, and the first one to save it spares the others the call.
func saveAgainDelay() time.Duration { return time.Duration(rand.Int64N(int64(peerSaveSpread))) }

// crashWrites holds what has to be written to the topic of crashes. It is owned by
// the gateway's task.
type crashWrites struct {
	pending map[string]crashWrite
	// stored holds the keys of the crashes that are known to be in the store, in an era
	// of it. loaded is set after the first read.
	stored map[string]bool
	era    int64
	loaded bool
}

// crashWrite adds or removes the record of one crash.
type crashWrite struct {
	crash  retry.Crash
	remove bool
	due    time.Time
}

func newCrashWrites() *crashWrites {
	return &crashWrites{pending: map[string]crashWrite{}, stored: map[string]bool{}}
}

func (w *crashWrites) add(c retry.Crash, due time.Time) {
	key := crashKey(c)
	if p, ok := w.pending[key]; w.stored[key] || ok && !p.remove && p.due.Before(due) {
		return
	}
	w.pending[key] = crashWrite{crash: c, due: due}
}

func (w *crashWrites) remove(c retry.Crash, due time.Time) {
	key := crashKey(c)
	delete(w.pending, key)
	if w.stored[key] {
		w.pending[key] = crashWrite{crash: c, remove: true, due: due}
	}
}

// saved records that the store holds a crash, or holds it no longer.
func (w *crashWrites) saved(key string, removed bool) {
	if p, ok := w.pending[key]; ok && p.remove == removed {
		delete(w.pending, key)
	}
	if removed {
		delete(w.stored, key)
		return
	}
	w.stored[key] = true
}

// due returns the writes whose time has come.
func (w *crashWrites) due(now time.Time) map[string]crashWrite {
	var out map[string]crashWrite
	for key, p := range w.pending {
		if now.Before(p.due) {
			continue
		}
		if out == nil {
			out = map[string]crashWrite{}
		}
		out[key] = p
	}
	return out
}

// crashValue is the value of a crash record. Times are in Unix milliseconds.
type crashValue struct {
	StartedUnixMS int64 `json:"started_unix_ms"`
	EndedUnixMS   int64 `json:"ended_unix_ms"`
	PromptPart    bool  `json:"prompt_part,omitempty"`
}

// crashKey returns the key of a crash record: the fingerprint of the request and the
// id of the process that ended, so that gateways never overwrite each other's records.
func crashKey(c retry.Crash) string { return fmt.Sprintf("%016x/%s", c.Fingerprint, c.ID) }

func parseCrashKey(key string) (retry.Crash, error) {
	hex, id, _ := strings.Cut(key, "/")
	fp, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || id == "" {
		return retry.Crash{}, fmt.Errorf("crash record has the key %q: %w", key, core.ErrInvalid)
	}
	return retry.Crash{Fingerprint: fp, ID: id}, nil
}

// applyCrashes applies crash records from the store. A full list of a new era lacks what
// was written after the copy from which the store has come back, so that is saved again.
func (g *Gateway) applyCrashes(read topicRead) {
	g.task.Do(func() {
		now, w := time.Now(), g.state.crashWrites
		lost := read.full && w.loaded && read.Next.Era > w.era
		if read.full {
			w.loaded, w.era, w.stored = true, read.Next.Era, map[string]bool{}
		}
		for _, r := range read.Records {
			if err := g.applyCrashRecord(r, now); err != nil {
				g.log.Warn("invalid record", zap.String("source", sourceStore), zap.Error(err))
			}
		}
		if !lost {
			return
		}
		for _, r := range g.state.quarantine.Records(retry.MaxFingerprints, now) {
			for _, c := range r.Crashes {
				w.add(c, now.Add(saveAgainDelay()))
			}
		}
	})
}

// applyCrashRecord applies one record of the topic of crashes. It runs in the task.
func (g *Gateway) applyCrashRecord(r core.KeyedRecord, now time.Time) error {
	c, err := parseCrashKey(r.Key)
	if err != nil {
		return err
	}
	g.state.crashWrites.saved(r.Key, r.Deleted)
	if r.Deleted {
		g.state.quarantine.Remove(c.Fingerprint, c.ID)
		return nil
	}
	var v crashValue
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return fmt.Errorf("decode crash record %q: %w: %w", r.Key, err, core.ErrInvalid)
	}
	// The clocks of hosts differ, so an end in the future is taken as now.
	age := max(0, now.Sub(time.UnixMilli(v.EndedUnixMS)))
	c.Ended, c.PromptPart = now.Add(-age), v.PromptPart
	c.Started = c.Ended.Add(-time.Duration(max(0, v.EndedUnixMS-v.StartedUnixMS)) * time.Millisecond)
	switch {
	case age > retry.RecordTTL:
		g.state.crashWrites.remove(c, now.Add(time.Duration(rand.Int64N(int64(crashExpiryInterval)))))
		return nil
	case g.state.quarantine.IsCleared(c):
		g.state.crashWrites.remove(c, now.Add(time.Duration(rand.Int64N(int64(clearedRemoveSpread)))))
		return nil
	}
	g.countKnownCrash(c, sourceStore, now)
	return nil
}

// saveCrashes writes crash records to the store until ctx is done.
func (g *Gateway) saveCrashes(ctx context.Context) {
	t := time.NewTicker(crashWriteInterval)
	defer t.Stop()
	failed, expired := false, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var writes map[string]crashWrite
		g.task.Do(func() {
			now := time.Now()
			if now.Sub(expired) > crashExpiryInterval {
				expired = now
				g.expireCrashes(now)
			}
			writes = g.state.crashWrites.due(now)
		})
		for key, w := range writes {
			if err := g.saveCrash(ctx, key, w); err != nil {
				if !failed {
					g.log.Warn("saving crash records failed; retrying", zap.Error(err))
				}
				failed = true
				g.sleepAfterFailedSave(ctx)
				break
			}
			failed = false
		}
	}
}

// saveCrash writes one record. A record that the store cannot hold is given up.
func (g *Gateway) saveCrash(ctx context.Context, key string, w crashWrite) error {
	var value []byte
	if !w.remove {
		var err error
		if value, err = json.Marshal(crashValue{w.crash.Started.UnixMilli(), w.crash.Ended.UnixMilli(), w.crash.PromptPart}); err != nil {
			return fmt.Errorf("encode crash record %q: %w", key, err)
		}
	}
	err := g.cfg.Store.Put(ctx, core.TopicCrashes, key, value)
	if errors.Is(err, core.ErrInvalid) {
		g.log.Warn("crash record was not saved", zap.Error(err))
	} else if err != nil {
		return fmt.Errorf("save crash record: %w", err)
	}
	quarantineEvents.Add("records_saved", 1)
	g.task.Do(func() { g.state.crashWrites.saved(key, w.remove) })
	return nil
}

func (g *Gateway) sleepAfterFailedSave(ctx context.Context) {
	select {
	case <-time.After(time.Duration(float64(maxBackoff) * (0.5 + rand.Float64()))):
	case <-ctx.Done():
	}
}

// expireCrashes drops old crashes and has their records removed. It runs in the task.
func (g *Gateway) expireCrashes(now time.Time) {
	for _, c := range g.state.quarantine.Expire(now) {
		g.state.crashWrites.remove(c, now.Add(time.Duration(rand.Int64N(int64(crashExpiryInterval)))))
	}
}
