package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// tick is the time between two checks of a worker's runs.
const tick = 5 * time.Millisecond

// stopTime is the time that a stop takes; the bound stop_ms is 900.
const stopTime = 200 * time.Millisecond

// run is a run in progress on a worker.
type run struct {
	unit      string
	number    int
	work      time.Duration // 0 for a run without an end
	fails     bool
	startedAt time.Time
	stopAt    time.Time // zero unless a stop was ordered
}

// worker is a stand-in worker that speaks the protocol of the pages.
type worker struct {
	deployment *deployment
	id         string
	service    string
	address    string
	zone       string
	kind       string // first label
	rack       string // last label
	gpus       int
	foreign    bool          // belongs to another system; what it runs is not judged
	clockAhead time.Duration // of the time of day when a life starts
	cut        atomic.Bool   // no call reaches the worker and none of its reports arrives
	// oddReason is the reason with which the worker refuses all starts; "" if it is sound.
	oddReason atomic.Value

	mu        sync.Mutex // guards the fields below
	server    *http.Server
	life      int // counts the starts and crashes, so that what belongs to an earlier life ends
	up        bool
	born      int64
	startedAt time.Time
	sequence  int
	token     uint64
	untilMS   int64
	runs      map[string]*run
	fenced    map[string]int // highest run stopped or ended, by unit
	finished  [][]any
	lastEnd   int64
}

// addWorker makes a worker of the deployment; startLife starts it.
func (d *deployment) addWorker(service string, gpus int) *worker {
	i := len(d.workers)
	w := &worker{
		deployment: d, id: fmt.Sprintf("i-%04x", 0x1a00+i), service: service, address: d.workerAddress(i),
		zone: zones[i%len(zones)], kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/8), gpus: gpus,
	}
	d.workers = append(d.workers, w)
	return w
}

func (w *worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() }

// startLife starts a life of the worker. It knows nothing of earlier ones. Its first status
// report follows after firstReport.
func (w *worker) startLife(firstReport time.Duration) error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.up, w.born, w.startedAt = true, time.Now().Add(w.clockAhead).UnixMilli(), time.Now()
	w.sequence, w.token, w.untilMS, w.lastEnd = 0, 0, 0, 0
	w.runs, w.fenced, w.finished = map[string]*run{}, map[string]int{}, nil
	mux := http.NewServeMux()
	life := w.life
	mux.HandleFunc("POST /run-start", w.handler(life, w.runStart))
	mux.HandleFunc("POST /run-stop", w.handler(life, w.runStop))
	mux.HandleFunc("POST /hold", w.handler(life, w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	go w.work(life)
	if firstReport >= 0 {
		go w.report(life, firstReport)
	}
	w.deployment.rec.printf("worker   %s of %s is up at %s, born %d", w.id, w.service, w.address, w.born)
	return nil
}

// crash ends the life of the worker. What it runs ends without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.deployment.rec.printf("worker   %s is down", w.id)
	w.up = false
	w.life++
	_ = w.server.Close()
	for _, r := range w.runs {
		w.judgeEnd(r, "(down)")
	}
	w.runs = nil
}

func (w *worker) judgeEnd(r *run, how string) {
	if !w.foreign {
		w.deployment.registry.ended(r.unit, r.number, w.id, how)
	}
}

// work ends the runs that are due until the life ends.
func (w *worker) work(life int) {
	for {
		time.Sleep(tick)
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		w.endDueRuns()
		w.mu.Unlock()
	}
}

func (w *worker) endDueRuns() {
	now := time.Now()
	for _, r := range w.runs {
		switch {
		case w.clockMS() > w.untilMS:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case r.fails && now.Sub(r.startedAt) >= time.Second:
			w.end(r, "failed")
		case r.work > 0 && now.Sub(r.startedAt) >= r.work:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.unit)
	w.fenced[r.unit] = max(w.fenced[r.unit], r.number)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, r.unit, r.number, how, ""})
	w.judgeEnd(r, how)
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// handler checks what all calls have in common. f is called with mu held and returns the body
// of the answer, or a reason to refuse the order. It may release mu while it waits.
func (w *worker) handler(life int, f func(context.Context, int, *order) (map[string]any, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, req *http.Request) {
		if w.cut.Load() {
			w.waitForCut(req.Context())
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(req.Body)
		var o order
		if err != nil || json.Unmarshal(body, &o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if req.Header.Get("X-Teaselpaddle-Expect-Instance") != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life {
			panic(http.ErrAbortHandler)
		}
		answer, reason := map[string]any{}, "fence"
		if o.Token >= w.token {
			w.token = o.Token
			w.endDueRuns()
			answer, reason = f(req.Context(), life, &o)
			if w.life != life {
				panic(http.ErrAbortHandler)
			}
		}
		if answer == nil {
			answer = map[string]any{}
		}
		answer["clock_ms"], answer["born"] = w.clockMS(), w.born
		out.Header().Set("Content-Type", "application/json")
		if reason != "" {
			answer["reason"] = reason
			out.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(out).Encode(answer)
	}
}

// waitForCut waits until the worker can be reached again, or ctx ends.
func (w *worker) waitForCut(ctx context.Context) {
	for w.cut.Load() && ctx.Err() == nil {
		time.Sleep(tick)
	}
}

// extend takes over the end of a lease, which is limited to maxHold.
func (w *worker) extend(untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.clockMS()+maxHold.Milliseconds()))
}

func (w *worker) runStart(_ context.Context, _ int, o *order) (map[string]any, string) {
	if reason, _ := w.oddReason.Load().(string); reason != "" {
		w.deployment.rec.printf("refuse   unit %s run %d on %s: 409, reason %s", o.Task, o.Run, w.id, reason)
		return nil, reason
	}
	w.extend(o.UntilMS)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil, ""
	}
	switch {
	case o.UntilMS < w.clockMS():
		return nil, "late"
	case o.Run <= w.fenced[o.Task] || w.runs[o.Task] != nil:
		return nil, "old"
	}
	work, known := w.deployment.registry.workOf(o.Task)
	if !known {
		w.deployment.rec.printf("unknown  unit %s was ordered on %s", o.Task, w.id)
	}
	w.runs[o.Task] = &run{unit: o.Task, number: o.Run, work: work, fails: w.deployment.registry.takeFailure(o.Task), startedAt: time.Now()}
	if !w.foreign {
		w.deployment.registry.started(o.Task, o.Run, w.id)
	}
	return nil, ""
}

func (w *worker) runStop(_ context.Context, _ int, o *order) (map[string]any, string) {
	w.deployment.rec.printf("stop     unit %s run %d ordered on %s", o.Task, o.Run, w.id)
	w.fenced[o.Task] = max(w.fenced[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return nil, ""
}

func (w *worker) hold(ctx context.Context, life int, o *order) (map[string]any, string) {
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= o.LastSeen {
		e := w.finished[0]
		w.deployment.registry.noted(e[1].(string), e[2].(int), w.id, e[3].(string))
		w.finished = w.finished[1:]
	}
	for end := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond); len(w.finished) == 0 && time.Now().Before(end); {
		w.mu.Unlock()
		time.Sleep(tick)
		w.mu.Lock()
		if w.life != life || ctx.Err() != nil {
			break
		}
	}
	if w.cut.Load() { // the answer is lost
		w.mu.Unlock()
		w.waitForCut(ctx)
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*time.Since(r.startedAt)/r.work))
		}
		running = append(running, []any{r.unit, r.number, "", percent, 1000})
	}
	finished := w.finished[:min(len(w.finished), 500)]
	if len(w.finished) > 100 {
		w.deployment.rec.printf("report   %s lists %d of %d ends and %d runs", w.id, len(finished), len(w.finished), len(running))
	}
	return map[string]any{"running": running, "finished": append([][]any{}, finished...)}, ""
}

// reportBody returns the next status report of the worker's life, or nil if the life has ended.
func (w *worker) reportBody(life int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life {
		return nil
	}
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "clock_ms": w.clockMS(), "born": w.born,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": w.gpus}, "labels": []string{w.kind, w.rack},
	})
	return body
}

// report sends status reports until the life ends. A report that is not acknowledged goes to the
// next control instance.
func (w *worker) report(life int, first time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	time.Sleep(first)
	for next := 0; ; {
		body := w.reportBody(life)
		if body == nil {
			return
		}
		w.waitForCut(context.Background())
		if !w.sendReport(client, w.deployment.controlAddress(next), body) {
			next++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// sendReport sends a status report to a control instance and reports whether it was acknowledged.
func (w *worker) sendReport(client *http.Client, control string, body []byte) bool {
	resp, err := client.Post("http://"+control+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// isUp reports whether the worker is up.
func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// runsAny reports whether a run of a job's unit is in progress on the worker.
func (w *worker) runsAny(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for unit := range w.runs {
		if jobOf(unit) == job {
			return true
		}
	}
	return false
}
