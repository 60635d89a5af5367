package options

import (
	"math"
	"time"
)

// Allowed ranges of the settings of a group.
const (
	maxRanks             = 4096
	maxLayers            = 1024
	maxExperts           = 65_536
	maxExpertBytes       = 1 << 40
	minRebalanceInterval = 100 * time.Millisecond
)

// group checks the settings of a rank. id and address are the id and the advertised
// peer address of the process.
func (c *checker) group(g Group, id, address string) {
	if g.Name == "" {
		c.rejectKeys("group", "group.name is not set")
		return
	}
	c.name("group.name", g.Name)
	c.rankLists(g, id, address)
	c.httpAddress("group.engine_address", g.EngineAddress)
	c.integer("group.layers", int64(g.Layers), 1, maxLayers)
	c.integer("group.experts", int64(g.Experts), 1, maxExperts)
	r := g.Rebalance
	if r.Interval.AsDuration() != 0 || r.Interval.malformed {
		c.duration("group.rebalance.interval", r.Interval, minRebalanceInterval, 24*time.Hour)
	}
	ranks := max(1, len(g.RankIDs))
	c.integer("group.rebalance.slots_per_rank", int64(r.SlotsPerRank), int64((g.Experts+ranks-1)/ranks), maxExperts)
	c.integer("group.rebalance.expert_bytes", r.ExpertBytes, 1, maxExpertBytes)
	c.integer("group.rebalance.store_bytes_per_second", r.StoreBytesPerSecond, 1, maxExpertBytes)
	if math.IsNaN(r.LoadSlowdown) || r.LoadSlowdown < 0 || r.LoadSlowdown > 1 {
		c.addError("group.rebalance.load_slowdown", r.LoadSlowdown, "0 to 1")
	}
	if math.IsNaN(r.MinGain) || r.MinGain < 0 || r.MinGain > 1 {
		c.addError("group.rebalance.min_gain", r.MinGain, "0 to 1")
	}
	c.duration("group.rebalance.switch_delay", r.SwitchDelay, 0, time.Minute)
	c.duration("group.rebalance.map_life", r.MapLife, time.Second, 24*time.Hour)
}

// rankLists checks that both lists have each rank once and that this process is at
// its rank in them.
func (c *checker) rankLists(g Group, id, address string) {
	c.integer("number of group.rank_ids", int64(len(g.RankIDs)), 1, maxRanks)
	if len(g.RankAddresses) != len(g.RankIDs) {
		c.addError("group.rank_addresses", len(g.RankAddresses), "as many addresses as group.rank_ids has ids")
		return
	}
	seen := map[string]bool{}
	for i, a := range g.RankAddresses {
		c.name("group.rank_ids", g.RankIDs[i])
		c.dialAddress("group.rank_addresses", a)
		if seen[a] {
			c.addError("group.rank_addresses", a, "unique addresses")
		}
		if seen[g.RankIDs[i]] {
			c.addError("group.rank_ids", g.RankIDs[i], "unique ids")
		}
		seen[a], seen[g.RankIDs[i]] = true, true
	}
	c.integer("group.rank", int64(g.Rank), 0, int64(len(g.RankIDs))-1)
	if g.Rank < 0 || g.Rank >= len(g.RankIDs) {
		return
	}
	if g.RankIDs[g.Rank] != id {
		c.addError("group.rank", g.Rank, "the position of the id of this process in group.rank_ids, "+id)
	}
	if g.RankAddresses[g.Rank] != address {
		c.addError("group.rank", g.Rank, "the position of listen.peer_advertised in group.rank_addresses, "+address)
	}
}
