package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
)

// Text gives the token of a generation at an offset, so that every token can
// be recognised.
func Text(generation string, offset int) string {
	return Tag(generation) + "." + strconv.Itoa(offset) + " "
}

// Tag is the short mark of a generation in its texts.
func Tag(generation string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(generation))
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// LengthRules shape the drawn output lengths: log-normal, cut to bounds.
type LengthRules struct {
	Median float64
	Spread float64
	Most   int
}

// Draw gives one output length.
func (l LengthRules) Draw(r *rand.Rand) int {
	n := int(l.Median * math.Exp(l.Spread*r.NormFloat64()))
	return min(max(n, 1), l.Most)
}
