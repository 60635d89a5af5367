package directory

import (
	"time"

	"nutmegnotch/core"
)

// SettlePeriod is how long the records of earlier eras stay in force after a new era was
// first read. Operators and backend servers write theirs again within some seconds;
// the platform's sheets allow catch_up_s, 4 s, to catch up.
const SettlePeriod = 4 * time.Second

// beginEra makes an era the current one of a topic, unless it is already. What was known
// before stays in force until Settle.
func (d *Directory) beginEra(t core.Topic, era int64, now time.Time) {
	if era <= d.topics[t].next.Era {
		return
	}
	d.topics[t].next = core.Position{Era: era}
	if len(d.topics[t].records) > 0 {
		d.topics[t].settleAt = now.Add(SettlePeriod)
	}
}

// Settle removes the records of earlier eras, which nobody has written again, after the
// store has been read up to its end. begun is when that read began: it must be later than
// the time that operators and backend servers need. It returns ChangeServers if a server
// or a drained failure domain has changed.
func (d *Directory) Settle(t core.Topic, begun, now time.Time) Change {
	topic := &d.topics[t]
	if topic.settleAt.IsZero() || begun.Before(topic.settleAt) || d.outage.lost || begun.Before(d.outage.ownBackAt.Add(LapseGracePeriod)) {
		return ChangeNone
	}
	topic.settleAt = time.Time{}
	change := ChangeNone
	for key, r := range topic.records {
		if r.Position.Era == topic.next.Era {
			continue
		}
		delete(topic.records, key)
		// Decoding the removal tells what the key stands for. The deployment is kept.
		decoded, err := d.decoder.Decode(t, core.KeyedRecord{Key: key, Deleted: true})
		if err == nil && decoded.Kind == core.RecordDrainedDomain && d.applyDrained(decoded.Domain, false) != ChangeNone ||
			t == core.TopicServers && d.dropServer(key, now) != ChangeNone {
			change = ChangeServers
		}
	}
	return change
}
