package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// defaultTaskTime is how long a task takes if its payload does not say.
const defaultTaskTime = 20 * time.Millisecond

// Payload is what a job's payload tells a task to do. Its words are separated
// by commas:
//
//	sleep=50ms          the task takes this long
//	fail                the task fails at its end
//	fail-on=<worker>    the task fails at its end if it runs on this worker
//	memory=<MiB>        the memory that the task uses; default: as declared
//	never-end           the task runs until it is stopped
//
// Other words are ignored.
type Payload struct {
	Time      time.Duration
	Fail      bool
	FailOn    []string
	MemoryMiB int // 0: as declared
	NeverEnd  bool
}

// ParsePayload reads a payload. A value that is not valid is ignored.
func ParsePayload(s string) Payload {
	p := Payload{Time: defaultTaskTime}
	for word := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		switch name {
		case "sleep":
			if d, err := time.ParseDuration(value); err == nil && d >= 0 {
				p.Time = d
			}
		case "fail":
			p.Fail = true
		case "fail-on":
			p.FailOn = append(p.FailOn, value)
		case "memory":
			if m, err := strconv.Atoi(value); err == nil && m >= 0 {
				p.MemoryMiB = m
			}
		case "never-end":
			p.NeverEnd = true
		}
	}
	return p
}

// TaskOutput is the output of a task that succeeds. A checker recomputes it, so
// that an answer that belongs to another job, task or request is found.
func TaskOutput(id model.JobID, task int, payload string) string {
	sum := sha256.Sum256([]byte(payload))
	return fmt.Sprintf("job %s task %d payload %s", id, task, hex.EncodeToString(sum[:4]))
}
