package options

import (
	"math"
	"time"
)

// Limits of the settings of a group.
const (
	maxRanks       = 4096
	maxLayers      = 1024
	maxExperts     = 65_536
	maxExpertBytes = 1 << 40
	minInterval    = 100 * time.Millisecond
)

// group checks the settings of a rank. id and address are those of the process.
func (c *checker) group(g Group, id, address string) {
	if g.Name == "" {
		c.absent("group", "group.name is not set")
		return
	}
	c.name("group.name", g.Name)
	c.ranks(g, id, address)
	c.service("group.engine_address", g.EngineAddress)
	c.integer("group.layers", int64(g.Layers), 1, maxLayers)
	c.integer("group.experts", int64(g.Experts), 1, maxExperts)
	r := g.Rebalance
	if r.Interval.Std() != 0 || r.Interval.malformed {
		c.duration("group.rebalance.interval", r.Interval, minInterval, 24*time.Hour)
	}
	ranks := max(1, len(g.RankIDs))
	c.integer("group.rebalance.slots_per_rank", int64(r.SlotsPerRank), int64((g.Experts+ranks-1)/ranks), maxExperts)
	c.integer("group.rebalance.expert_bytes", r.ExpertBytes, 1, maxExpertBytes)
	c.integer("group.rebalance.store_bytes_per_second", r.StoreBytesPerSecond, 1, maxExpertBytes)
	if math.IsNaN(r.LoadSlowdown) || r.LoadSlowdown < 0 || r.LoadSlowdown > 1 {
		c.fault("group.rebalance.load_slowdown", r.LoadSlowdown, "0 to 1")
	}
	if math.IsNaN(r.MinGain) || r.MinGain < 0 || r.MinGain > 1 {
		c.fault("group.rebalance.min_gain", r.MinGain, "0 to 1")
	}
	c.duration("group.rebalance.switch_delay", r.SwitchDelay, 0, time.Minute)
	c.duration("group.rebalance.map_life", r.MapLife, time.Second, 24*time.Hour)
}

// ranks checks that both lists name each rank once and this process at its
// rank.
func (c *checker) ranks(g Group, id, address string) {
	c.integer("number of group.rank_ids", int64(len(g.RankIDs)), 1, maxRanks)
	if len(g.RankAddresses) != len(g.RankIDs) {
		c.fault("group.rank_addresses", len(g.RankAddresses), "as many addresses as group.rank_ids has ids")
		return
	}
	seen := map[string]bool{}
	for i, a := range g.RankAddresses {
		c.name("group.rank_ids", g.RankIDs[i])
		c.dial("group.rank_addresses", a)
		if seen[a] {
			c.fault("group.rank_addresses", a, "no address twice")
		}
		if seen[g.RankIDs[i]] {
			c.fault("group.rank_ids", g.RankIDs[i], "no id twice")
		}
		seen[a], seen[g.RankIDs[i]] = true, true
	}
	c.integer("group.rank", int64(g.Rank), 0, int64(len(g.RankIDs))-1)
	if g.Rank < 0 || g.Rank >= len(g.RankIDs) {
		return
	}
	if g.RankIDs[g.Rank] != id {
		c.fault("group.rank", g.Rank, "the rank whose entry in group.rank_ids is the id, "+id)
	}
	if g.RankAddresses[g.Rank] != address {
		c.fault("group.rank", g.Rank, "the rank whose address is listen.peer_advertised, "+address)
	}
}
