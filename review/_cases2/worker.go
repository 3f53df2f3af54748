package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	stopTime          = 300 * time.Millisecond // stop_ms is 400 and 900
	gpus              = 8
)

// run is a run of a work unit on a worker.
type run struct {
	task      string
	number    int
	spec      string
	startedAt time.Time
	work      time.Duration // 0 if the run lasts until it is stopped
	fails     bool          // it ends as failed after its work
	stopAt    time.Time     // zero if no stop was ordered
}

// span is the time in which a run was on a worker. The end is zero while it is there.
type span struct {
	task       string
	run        int
	spec       string
	worker     string
	address    string
	life       int
	began, end time.Time
	how        string
}

// journal holds the runs on all workers.
type journal struct {
	mu    sync.Mutex
	spans []*span
	// noted holds the work units of which an end as done was acknowledged by last_seen.
	noted map[string]bool
}

func (j *journal) begin(s *span) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.spans = append(j.spans, s)
}

func (j *journal) end(s *span, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.end, s.how = time.Now(), how
}

// failures returns the number of runs of a work unit that have ended as failed.
func (j *journal) failures(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, s := range j.spans {
		if s.task == task && s.how == "failed" {
			n++
		}
	}
	return n
}

// of returns copies of the spans of a job, in the order of their start.
func (j *journal) of(job string) []span {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []span
	for _, s := range j.spans {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, *s)
		}
	}
	return out
}

// worker is a stand-in worker. It is one process in the eyes of the system; a crash or a restart ends
// all that it knows.
type worker struct {
	d         *deployment
	j         *journal
	id        string
	zone      string
	rack      string
	ip        string
	port      int
	service   string
	kind      string // its first label
	silent    bool   // sends no status reports of its own
	advertise string // address in the status reports; its own unless a proxy stands before it

	mu        sync.Mutex // guards the fields below
	life      int
	up        bool
	srv       *http.Server
	born      int64
	startedAt time.Time
	sequence  int
	state     string
	running   map[string]*run
	spans     map[string]*span
	highest   map[string]int // by task, the highest run that was stopped or has ended
	finished  [][]any
	lastEnd   int64
	token     uint64
	until     int64
	ended     chan struct{} // closed and replaced when a run ends
	hello     chan struct{} // closed once a status report of this life was acknowledged
}

// newWorker adds a worker, 8 a rack.
func (d *deployment) newWorker(j *journal) *worker {
	n := len(d.workers)
	w := &worker{
		d: d, j: j, service: d.site.service, kind: "a", id: fmt.Sprintf("i-%04x", 0x7f3a+n), zone: d.site.zones[n%len(d.site.zones)], rack: fmt.Sprintf("r%d-%d", n%len(d.site.zones)+1, n/24+1),
		ip: fmt.Sprintf("%s.%d", d.network, d.nextHost), port: 8080,
	}
	w.advertise = fmt.Sprintf("%s:%d", w.ip, w.port)
	d.nextHost++
	d.workers = append(d.workers, w)
	return w
}

// start starts a new life of the worker.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.port))
	if err != nil {
		return err
	}
	w.life++
	w.up, w.born, w.startedAt, w.sequence, w.state = true, time.Now().UnixMilli(), time.Now(), 0, "ready"
	w.running, w.spans, w.highest, w.finished, w.lastEnd, w.token, w.until = map[string]*run{}, map[string]*span{}, map[string]int{}, nil, 0, 0, 0
	w.ended, w.hello = make(chan struct{}), make(chan struct{})
	life := w.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(life, w.runStart))
	mux.HandleFunc("POST /run-stop", w.order(life, w.runStop))
	mux.HandleFunc("POST /hold", w.hold(life))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.srv = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.srv)
	go w.work(life)
	if !w.silent {
		go w.report(life)
	}
	w.d.rec.printf("worker %s starts its life %d, born %d", w.name(), life, w.born)
	return nil
}

// name returns the name of the worker in the record.
func (w *worker) name() string {
	if w.silent {
		return w.id + " (the other writer's)"
	}
	return w.id
}

// isOver reports whether a life has ended. The caller holds mu.
func (w *worker) isOver(life int) bool { return !w.up || w.life != life }

// crash ends the life at once. Its runs end with it.
func (w *worker) crash() { w.stopLife("crashes") }

func (w *worker) stopLife(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.srv.Close()
	for task := range w.running {
		w.j.end(w.spans[task], "gone")
		w.d.rec.printf("worker %s: %s run %d is gone", w.name(), task, w.running[task].number)
	}
	w.running = map[string]*run{}
	w.d.rec.printf("worker %s %s", w.name(), why)
}

// leave announces that the worker drains, waits for at least drain_ms, says that it leaves, and ends.
func (w *worker) leave(after time.Duration) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.sendReport()
	w.d.rec.printf("worker %s drains", w.name())
	time.Sleep(after)
	w.mu.Lock()
	body, _ := json.Marshal(map[string]any{"born": w.born})
	w.mu.Unlock()
	for i := range 6 {
		status, _ := send("POST", w.d.control[i%3].controlAddress(), "/instances/"+w.id+"/leave", nil, string(body), time.Second)
		if status == 200 {
			break
		}
	}
	w.stopLife("leaves")
}

func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// report sends status reports until the life ends. A report that is not acknowledged goes to the next
// control instance.
func (w *worker) report(life int) {
	for {
		w.mu.Lock()
		over := w.isOver(life)
		w.mu.Unlock()
		if over {
			return
		}
		w.sendReport()
		time.Sleep(heartbeatInterval)
	}
}

func (w *worker) sendReport() {
	for i := range 6 {
		w.mu.Lock()
		w.sequence++
		life, hello := w.life, w.hello
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.advertise, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "born": w.born,
			"capacity": map[string]int{"cpu": w.d.site.cpu, "mem_mb": w.d.site.memMB, "gpu": gpus}, "labels": []string{w.kind, w.rack},
			"clock_ms": w.clock(), "sequence": w.sequence, "cold_remaining_ms": 0,
		})
		up := w.up
		w.mu.Unlock()
		if !up {
			return
		}
		status, _ := send("POST", w.d.control[(int(w.born)+i)%3].controlAddress(), "/instances/"+w.id+"/heartbeat", nil, string(body), time.Second)
		if status/100 != 2 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isOver(life) {
			select {
			case <-hello:
			default:
				close(hello)
			}
		}
		return
	}
}

// work ends the runs that are due until the life ends.
func (w *worker) work(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.isOver(life) {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			switch {
			case w.clock() > w.until:
				w.endRun(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.endRun(r, "stopped")
			case r.work > 0 && now.Sub(r.startedAt) >= r.work && r.fails:
				w.endRun(r, "failed")
			case r.work > 0 && now.Sub(r.startedAt) >= r.work:
				w.endRun(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// endRun lists the end of a run. The caller holds mu.
func (w *worker) endRun(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.finished = append(w.finished, []any{w.lastEnd, r.task, r.number, how, ""})
	w.j.end(w.spans[r.task], how)
	w.d.rec.printf("worker %s: %s run %d ends %s", w.name(), r.task, r.number, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task_spec"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// accept decodes an order and checks the intended id and the token. It holds mu if it returns true.
func (w *worker) accept(life int, rw http.ResponseWriter, r *http.Request, o *orderBody) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, o)
	}
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	if w.isOver(life) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Teaselpaddle-Expect-Instance") != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return false
	}
	w.token = o.Token
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": reason})
}

// order returns the handler of a start or a stop. f returns the reason of a refusal, or "".
func (w *worker) order(life int, f func(*orderBody) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o orderBody
		if !w.accept(life, rw, r, &o) {
			return
		}
		defer w.mu.Unlock()
		reason := f(&o)
		w.d.rec.printf("worker %s gets %s %s run %d token %d: %s", w.name(), r.URL.Path, o.Task, o.Run, o.Token, answerName(reason))
		if reason != "" {
			w.refuse(rw, reason)
			return
		}
		_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "born": w.born})
	}
}

func answerName(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

func (w *worker) runStart(o *orderBody) string {
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		w.until = max(w.until, min(o.UntilMS, w.clock()+int64(maxLeaseMS)))
		return ""
	}
	if o.UntilMS < w.clock() {
		return "late"
	}
	w.until = max(w.until, min(o.UntilMS, w.clock()+int64(maxLeaseMS)))
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		return "old"
	}
	r := &run{
		task: o.Task, number: o.Run, spec: o.Spec, startedAt: time.Now(), work: time.Duration(numberIn(o.Spec, "work_ms=")) * time.Millisecond,
		fails: w.j.failures(o.Task) < numberIn(o.Spec, "failures="),
	}
	w.running[o.Task] = r
	w.spans[o.Task] = &span{task: o.Task, run: o.Run, spec: o.Spec, worker: w.id, address: w.advertise, life: w.life, began: time.Now()}
	w.j.begin(w.spans[o.Task])
	w.d.rec.printf("worker %s: %s run %d begins", w.name(), o.Task, o.Run)
	return ""
}

func (w *worker) runStop(o *orderBody) string {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

// numberIn returns the number that the consumer has written into the task_spec behind a name; 0 if there is
// none. "work_ms=" is the duration of a run, 0 for one that lasts; "failures=" is the number of runs that
// end as failed.
func numberIn(spec, name string) int {
	_, rest, _ := strings.Cut(spec, name)
	digits, _, _ := strings.Cut(rest, " ")
	n, _ := strconv.Atoi(digits)
	return n
}

// hold returns the handler of holds. The response waits for an end.
func (w *worker) hold(life int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o orderBody
		if !w.accept(life, rw, r, &o) {
			return
		}
		if o.UntilMS > 0 {
			w.until = max(w.until, min(o.UntilMS, w.clock()+int64(maxLeaseMS)))
		}
		w.finished = slices.DeleteFunc(w.finished, func(e []any) bool {
			seen := e[0].(int64) <= o.LastSeen
			if seen {
				w.d.rec.printf("worker %s: the end of %v is taken note of", w.name(), e[1:4])
			}
			if seen && e[3] == "done" {
				w.j.note(e[1].(string))
			}
			return seen
		})
		ended := w.ended
		wait := time.Duration(min(o.WaitMS, 2000)) * time.Millisecond
		if wait > 0 && len(w.finished) == 0 {
			w.mu.Unlock()
			select {
			case <-ended:
			case <-time.After(wait):
			case <-r.Context().Done():
			}
			w.mu.Lock()
		}
		defer w.mu.Unlock()
		if w.isOver(life) {
			panic(http.ErrAbortHandler)
		}
		running := [][]any{}
		for _, x := range w.running {
			percent := 100
			if x.work > 0 {
				percent = min(99, int(100*time.Since(x.startedAt)/x.work))
			}
			running = append(running, []any{x.task, x.number, "", percent, 1000})
		}
		var b bytes.Buffer
		_ = json.NewEncoder(&b).Encode(map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": append([][]any{}, w.finished[:min(len(w.finished), 500)]...)})
		_, _ = rw.Write(b.Bytes())
	}
}

func (j *journal) note(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.noted == nil {
		j.noted = map[string]bool{}
	}
	j.noted[task] = true
}

// where returns the worker that runs a work unit, or nil.
func (d *deployment) where(task string) *worker {
	for _, w := range d.workers {
		w.mu.Lock()
		_, here := w.running[task]
		w.mu.Unlock()
		if here {
			return w
		}
	}
	return nil
}

// acknowledged reports whether a status report of this life was acknowledged.
func (w *worker) acknowledged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.hello:
		return true
	default:
		return false
	}
}
