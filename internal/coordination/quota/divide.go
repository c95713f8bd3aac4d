package quota

import "math"

// Claim is a claimant's part in the division of a capacity.
type Claim struct {
	// Weight is the claimant's right in relation to the others, Demand what it can
	// use; it may be infinite.
	Weight float64
	Demand float64
	// Part is what Divide assigns.
	Part float64
}

// Divide assigns a capacity by weighted max-min fairness: nobody gets more than it can
// use, and what one leaves unused goes to the others in proportion to their weights. The
// parts add up to the capacity, or to all demands if these are lower. Claims of weight
// zero get nothing.
func Divide(capacity float64, claims []Claim) {
	weights := 0.0
	for i := range claims {
		c := &claims[i]
		c.Part = 0
		if c.Weight > 0 && c.Demand > 0 {
			c.Part = -1 // still open
			weights += c.Weight
		}
	}
	left := max(0, capacity)
	for weights > 0 {
		// Claims that need less than their part of what is left get what they need;
		// the level rises for the rest.
		level, settled := left/weights, false
		for i := range claims {
			c := &claims[i]
			if c.Part < 0 && c.Demand <= level*c.Weight {
				c.Part = min(c.Demand, left)
				left -= c.Part
				weights -= c.Weight
				settled = true
			}
		}
		if settled && anyOpen(claims) {
			continue
		}
		for i := range claims {
			if c := &claims[i]; c.Part < 0 {
				c.Part = level * c.Weight
			}
		}
		return
	}
}

func anyOpen(claims []Claim) bool {
	for i := range claims {
		if claims[i].Part < 0 {
			return true
		}
	}
	return false
}

// Unlimited is the demand of a claimant that could use everything.
var Unlimited = math.Inf(1)
