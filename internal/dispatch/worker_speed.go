package dispatch

import (
	"math"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// recordedSpeed returns the log speed of a worker and its standard deviation as recorded,
// or zeros if it has not been measured.
func recordedSpeed(w *batch.Worker) (log, sd float64) {
	if w.Speed == nil {
		return 0, 0
	}
	return float64(w.Speed.LogMilli) / 1000, float64(w.Speed.SDMilli) / 1000
}

// recordedSpread returns the standard deviation of the recorded log speeds between
// workers; 0 if fewer than two are recorded.
func recordedSpread(workers map[string]*batch.Worker) float64 {
	var n, sum, squares float64
	for _, w := range workers {
		if w.Speed != nil {
			log, _ := recordedSpeed(w)
			n++
			sum += log
			squares += log * log
		}
	}
	if n < 2 {
		return 0
	}
	return math.Sqrt(max(squares-sum*sum/n, 0) / (n - 1))
}

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
