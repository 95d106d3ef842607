package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
)

// TokenText returns the text of the token at an offset. It identifies the generation and the
// offset, so that tests can check a stream.
func TokenText(generation string, offset int) string {
	return GenerationTag(generation) + "." + strconv.Itoa(offset) + " "
}

// GenerationTag returns a short hash of a generation's ID, which prefixes its token texts.
func GenerationTag(generation string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(generation))
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// LengthDistribution is a log-normal distribution of lengths in tokens, clamped to 1 and Most.
type LengthDistribution struct {
	Median    float64
	Sigma     float64
	MaxLength int
}

// Sample draws one length.
func (l LengthDistribution) Sample(r *rand.Rand) int {
	n := int(l.Median * math.Exp(l.Sigma*r.NormFloat64()))
	return min(max(n, 1), l.MaxLength)
}
