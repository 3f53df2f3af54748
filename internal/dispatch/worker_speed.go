package dispatch

import "teaselpaddle.example/teaselpaddle/internal/batch"

// urgentSpeed returns the speed that jobs of the most urgent queues need if they start at
// once, whatever their length; 0 if no such queue has a target. A fixed addition to the
// target, which lowers the need of short jobs, is not counted.
func urgentSpeed(c *batch.Config) float64 {
	speed := 0.0
	if c == nil {
		return speed
	}
	for i := range c.Queues {
		if q := &c.Queues[i]; q.Priority == 0 && q.Stretch > 0 {
			speed = max(speed, 1/q.Stretch)
		}
	}
	return speed
}
