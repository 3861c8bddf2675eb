package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members ordered by rendezvous hashing of key, the most
// preferred first. Nodes with equal member sets compute equal orders.
func Rank(key string, members []Member) []Member {
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(members))
	for i, x := range members {
		scores[i] = scored{score: Score(key, x.ID), index: i}
	}
	sort.Slice(scores, func(i, j int) bool { return scores[i].score > scores[j].score })
	ranked := make([]Member, len(members))
	for i, s := range scores {
		ranked[i] = members[s.index]
	}
	return ranked
}

// RankRegionFirst returns the members in the order of Rank, with those of the
// given region before all others, so that copies of a request stay in its region.
func RankRegionFirst(key, region string, members []Member) []Member {
	ranked := Rank(key, members)
	sort.SliceStable(ranked, func(i, j int) bool {
		return ranked[i].Region == region && ranked[j].Region != region
	})
	return ranked
}

// Score returns the rendezvous weight of the member id for key.
func Score(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Preferred returns the first member in the order of Rank, and false if members
// is empty.
func Preferred(key string, members []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	for _, x := range members {
		if s := Score(key, x.ID); best.ID == "" || s > bestScore {
			best, bestScore = x, s
		}
	}
	return best, best.ID != ""
}
