package loadtests

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Bucket is a range of prompt lengths in tokens with its weight in a Mixture.
type Bucket struct {
	Min    int     `json:"min"`
	Max    int     `json:"max"`
	Weight float64 `json:"weight"`
}

// String returns the bucket in the form that ParseBucket reads.
func (b Bucket) String() string { return fmt.Sprintf("%d-%d=%g", b.Min, b.Max, b.Weight) }

// ParseBucket reads a bucket of the form MIN-MAX=WEIGHT.
func ParseBucket(s string) (Bucket, error) {
	lengths, weight, hasWeight := strings.Cut(s, "=")
	minText, maxText, hasRange := strings.Cut(lengths, "-")
	var b Bucket
	var minErr, maxErr, weightErr error
	b.Min, minErr = strconv.Atoi(minText)
	b.Max, maxErr = strconv.Atoi(maxText)
	b.Weight, weightErr = strconv.ParseFloat(weight, 64)
	if !hasWeight || !hasRange || minErr != nil || maxErr != nil || weightErr != nil || b.Min < 1 || b.Max < b.Min || b.Weight < 0 {
		return Bucket{}, fmt.Errorf("bucket %q is not of the form MIN-MAX=WEIGHT with 1 <= MIN <= MAX and WEIGHT >= 0", s)
	}
	return b, nil
}

// Mixture is a distribution of prompt lengths.
type Mixture []Bucket

// DefaultMixture returns a mixture of lengths from 1,000 to 1,000,000 tokens in which
// one prompt in fifty has more than 100,000.
func DefaultMixture() Mixture {
	return Mixture{
		{Min: 1_000, Max: 4_000, Weight: 60},
		{Min: 4_001, Max: 16_000, Weight: 26},
		{Min: 16_001, Max: 100_000, Weight: 12},
		{Min: 100_001, Max: 1_000_000, Weight: 2},
	}
}

// ShortMixture returns a mixture with only the first bucket of DefaultMixture.
func ShortMixture() Mixture { return DefaultMixture()[:1] }

// draw returns the index of a random bucket and a random length in it. Lengths are
// log-uniformly distributed within a bucket.
func (m Mixture) draw(r *rand.Rand) (bucket, tokens int) {
	total := 0.0
	for _, b := range m {
		total += b.Weight
	}
	point := r.Float64() * total
	for bucket < len(m)-1 && point >= m[bucket].Weight {
		point -= m[bucket].Weight
		bucket++
	}
	b := m[bucket]
	low, high := math.Log(float64(b.Min)), math.Log(float64(b.Max))
	return bucket, min(b.Max, max(b.Min, int(math.Exp(low+r.Float64()*(high-low)))))
}

// meanTokens returns the mean prompt length.
func (m Mixture) meanTokens() float64 {
	sum, weight := 0.0, 0.0
	for _, b := range m {
		bucketMean := float64(b.Min)
		if b.Max > b.Min {
			bucketMean = float64(b.Max-b.Min) / math.Log(float64(b.Max)/float64(b.Min))
		}
		sum += b.Weight * bucketMean
		weight += b.Weight
	}
	return sum / weight
}
