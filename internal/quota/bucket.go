package quota

import "math"

// bucket is a token bucket. Its owner calls refill before it uses the level.
type bucket struct {
	ratePerS  float64
	capacity  float64
	level     float64
	levelAtUs int64 // time for which level is correct
}

// refill adds the tokens that have accrued until nowUs.
func (b *bucket) refill(nowUs int64) {
	if nowUs > b.levelAtUs {
		b.level = math.Min(b.capacity, b.level+b.ratePerS*float64(nowUs-b.levelAtUs)/1e6)
		b.levelAtUs = nowUs
	}
}

// setLimit changes the limit; tokens above the new capacity are lost.
func (b *bucket) setLimit(ratePerS, capacity float64) {
	b.ratePerS, b.capacity = ratePerS, capacity
	b.level = math.Min(b.level, capacity)
}

// consume consumes up to n tokens, but leaves the reserve in the bucket. It returns how many
// it consumed.
func (b *bucket) consume(n int, reserve float64) int {
	consumed := min(n, int(math.Floor(b.level-reserve)))
	if consumed <= 0 {
		return 0
	}
	b.level -= float64(consumed)
	return consumed
}

// waitUs returns how long it takes until one token above the reserve is available; 0 if
// one is available now or the rate is not positive.
func (b *bucket) waitUs(reserve float64) int64 {
	missing := 1 + reserve - b.level
	if missing <= 0 || b.ratePerS <= 0 {
		return 0
	}
	return int64(missing / b.ratePerS * 1e6)
}
