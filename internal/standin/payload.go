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

// defaultTaskTime is the duration of a task whose payload states none.
const defaultTaskTime = 20 * time.Millisecond

// Payload holds the directives in a job's payload, which control the behaviour
// of its tasks. Directives are separated by commas:
//
//	sleep=50ms          the task takes this long
//	fail                the task fails at its end
//	fail-on=<worker>    the task fails at its end if it runs on this worker
//	memory=<MiB>        the memory that the task uses; default: as declared
//	never-end           the task runs until it is stopped
//
// Other directives are ignored.
type Payload struct {
	Time      time.Duration
	Fail      bool
	FailOn    []string
	MemoryMiB int // 0: as declared
	NeverEnd  bool
}

// ParsePayload parses a payload. Directives with an invalid value are ignored.
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

// TaskOutput returns the output of a task that succeeds. Checkers recompute it to
// detect an answer that belongs to another job, task or request.
func TaskOutput(id model.JobID, task int, payload string) string {
	sum := sha256.Sum256([]byte(payload))
	return fmt.Sprintf("job %s task %d payload %s", id, task, hex.EncodeToString(sum[:4]))
}
