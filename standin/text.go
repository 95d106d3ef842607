package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
)

// TokenText gives the token of a generation at an offset, so that every token can
// be recognised.
func TokenText(generation string, offset int) string {
	return GenerationTag(generation) + "." + strconv.Itoa(offset) + " "
}

// GenerationTag is the short mark of a generation in its texts.
func GenerationTag(generation string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(generation))
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// LengthDistribution shape the drawn output lengths: log-normal, cut to bounds.
type LengthDistribution struct {
	Median float64
	Sigma  float64
	Most   int
}

// Sample gives one output length.
func (l LengthDistribution) Sample(r *rand.Rand) int {
	n := int(l.Median * math.Exp(l.Sigma*r.NormFloat64()))
	return min(max(n, 1), l.Most)
}
