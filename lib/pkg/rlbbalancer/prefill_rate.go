package rlbbalancer

import "time"

// Parameters of the estimate of a prefill rate, in prompt tokens per millisecond.
const (
	initialPrefillRate = 19.0
	minPrefillRate     = 5.0
	maxPrefillRate     = 500.0
	// prefillMemory is the number of answers over which the estimate is averaged. The initial
	// rate counts as many.
	prefillMemory = 200.0
	// priorSpread is the spread of unread tokens in the answers that the initial rate stands
	// for.
	priorSpread = 1500.0
	// leastSpread is the spread for which the initial rate always counts: prompts of about the
	// same length tell nothing about the rate.
	leastSpread = 200.0
)

// prefillRate estimates how fast the engines of a service prefill prompts, by a linear
// regression of the time to the first event on the tokens that were to be read before it.
// What the time contains besides, such as the way there and a step of the engine, is the
// constant part of the regression.
type prefillRate struct {
	weight               float64 // sum of the weights of the answers; 0: none yet
	meanTokens, meanTime float64 // the time in milliseconds
	variance, covariance float64 // of the tokens, and of tokens and time
}

// record adds an answer.
func (r *prefillRate) record(tokens int, took time.Duration) {
	if r.weight == 0 {
		r.weight, r.meanTokens, r.meanTime = 1, float64(tokens), took.Seconds()*1e3
		r.variance = priorSpread * priorSpread
		r.covariance = r.variance / initialPrefillRate
		return
	}
	r.weight = min(r.weight+1, prefillMemory)
	share := 1 / r.weight
	dTokens, dTime := float64(tokens)-r.meanTokens, took.Seconds()*1e3-r.meanTime
	r.meanTokens += share * dTokens
	r.meanTime += share * dTime
	slow := 1 / prefillMemory // the prior fades over the memory, however few answers there were
	r.variance += slow * (dTokens*dTokens - r.variance)
	r.covariance += slow * (dTokens*dTime - r.covariance)
}

// tokensPerMS returns the estimate.
func (r *prefillRate) tokensPerMS() float64 {
	variance := r.variance + leastSpread*leastSpread
	covariance := r.covariance + leastSpread*leastSpread/initialPrefillRate
	if covariance <= variance/maxPrefillRate {
		return maxPrefillRate
	}
	return max(variance/covariance, minPrefillRate)
}
