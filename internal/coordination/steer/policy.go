package steer

import "coltsfootdock/internal/policy"

// SetPolicy sets the operator's policy. It takes effect with the next decision.
func (c *Core) SetPolicy(p policy.Policy) {
	c.policy = p
	c.applyShares()
	c.fillPools()
	if !p.Speed.Learn {
		c.forgetSpeeds()
	}
}
