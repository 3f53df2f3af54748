package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the platform that a worker keeps.
const (
	maxHold        = 10 * time.Second
	stopTime       = 100 * time.Millisecond // at most stop_ms
	failTime       = 100 * time.Millisecond // after which a failing worker's runs fail
	heartbeatEvery = 1500 * time.Millisecond
	maxListedEnds  = 500
	clockStartMS   = 1000
)

// event is a line that a worker prints for the record.
type event struct {
	Kind string `json:"kind"` // begun, ended, forgotten or refused
	Task string `json:"task,omitempty"`
	Run  int    `json:"run,omitempty"`
	How  string `json:"how,omitempty"`
}

// standinRun is a run in progress.
type standinRun struct {
	task      string
	run       int
	work      time.Duration
	begunAt   time.Time
	stoppedAt time.Time // when a stop takes effect; zero if none was ordered
}

// standinEnd is an end that the scheduler has not taken note of.
type standinEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// standinWorker is one life of a worker.
type standinWorker struct {
	id, address, zone, rack, service string
	labels                           []string
	gpus                             int
	controls                         []string
	born                             int64
	startedAt                        time.Time

	mu       sync.Mutex // guards the fields below
	running  map[string]*standinRun
	ended    map[string]int // highest run that has ended or was stopped, by task
	finished []standinEnd
	lastEnd  int64
	fence    uint64
	untilMS  int64
	sequence int
	failing  bool          // fails all that it starts
	changed  chan struct{} // closed and replaced at each end
}

type workerOrder struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	TaskSpec string `json:"task_spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// runWorker runs one life of a worker until the process is killed.
func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &standinWorker{running: map[string]*standinRun{}, ended: map[string]int{}, changed: make(chan struct{})}
	f.StringVar(&w.id, "id", "", "id")
	f.StringVar(&w.address, "address", "", "address to serve")
	f.StringVar(&w.zone, "zone", "", "availability zone")
	f.StringVar(&w.rack, "rack", "r1", "rack")
	f.StringVar(&w.service, "service", "", "service")
	f.IntVar(&w.gpus, "gpus", 8, "accelerators")
	kind := f.String("kind", "a", "kind, the first label")
	controls := f.String("controls", "", "addresses of the control daemons, the first one first")
	_ = f.Parse(args)
	w.controls = strings.Split(*controls, ",")
	w.labels = []string{*kind, w.rack}
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	w.startedAt = time.Now()
	w.born = w.startedAt.UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.start))
	mux.HandleFunc("POST /run-stop", w.order(w.stop))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go w.advance()
	go w.report()
	go w.obeySignals()
	_ = http.Serve(ln, mux)
}

func (w *standinWorker) clockMS() int64 {
	return clockStartMS + time.Since(w.startedAt).Milliseconds()
}

func tell(e event) {
	line, _ := json.Marshal(e)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// order decodes an order and checks the life that it is for and its fencing token.
func (w *standinWorker) order(f func(*http.Request, *workerOrder) (status int, reply map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerOrder
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Teaselpaddle-Expect-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		status, reply := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reply = f(r, &o)
		}
		reply["clock_ms"], reply["born"] = w.clockMS(), w.born
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(reply)
	}
}

// extend extends the lease of everything that runs. It never shortens it.
func (w *standinWorker) extend(untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.clockMS()+maxHold.Milliseconds()))
}

func (w *standinWorker) start(_ *http.Request, o *workerOrder) (int, map[string]any) {
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		w.extend(o.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	if w.running[o.Task] != nil || o.Run <= w.ended[o.Task] {
		w.extend(o.UntilMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.UntilMS <= w.clockMS() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(o.UntilMS)
	work, _ := strconv.Atoi(strings.TrimPrefix(o.TaskSpec, "work_ms="))
	w.running[o.Task] = &standinRun{task: o.Task, run: o.Run, work: time.Duration(work) * time.Millisecond, begunAt: time.Now()}
	tell(event{Kind: "begun", Task: o.Task, Run: o.Run})
	return http.StatusOK, map[string]any{}
}

func (w *standinWorker) stop(_ *http.Request, o *workerOrder) (int, map[string]any) {
	r := w.running[o.Task]
	if r != nil && r.run <= o.Run && r.stoppedAt.IsZero() {
		r.stoppedAt = time.Now().Add(stopTime)
	}
	if r == nil {
		w.ended[o.Task] = max(w.ended[o.Task], o.Run)
	}
	return http.StatusOK, map[string]any{}
}

func (w *standinWorker) hold(r *http.Request, o *workerOrder) (int, map[string]any) {
	w.extend(o.UntilMS)
	w.forget(o.LastSeen)
	if len(w.finished) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if r.work > 0 {
			percent = int(min(100*time.Since(r.begunAt)/r.work, 99))
		}
		running = append(running, []any{r.task, r.run, "", percent})
	}
	for _, e := range w.finished[:min(len(w.finished), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// forget drops the ends that the scheduler has taken note of.
func (w *standinWorker) forget(lastSeen int64) {
	for len(w.finished) > 0 && w.finished[0].number <= lastSeen {
		e := w.finished[0]
		w.finished = w.finished[1:]
		tell(event{Kind: "noted", Task: e.task, Run: e.run, How: e.how})
	}
}

// advance ends the runs that are done, stopped or without a lease.
func (w *standinWorker) advance() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			switch {
			case w.clockMS() > w.untilMS:
				w.end(r, "lapsed")
			case w.failing && now.Sub(r.begunAt) >= failTime:
				w.end(r, "failed")
			case !r.stoppedAt.IsZero() && now.After(r.stoppedAt):
				w.end(r, "stopped")
			case r.work > 0 && now.Sub(r.begunAt) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// obeySignals lets runs fail: SIGUSR1 all from now on, SIGUSR2 none, SIGHUP the one that began first, once.
func (w *standinWorker) obeySignals() {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP)
	for s := range c {
		w.mu.Lock()
		w.failing = s == syscall.SIGUSR1
		if s == syscall.SIGHUP {
			var first *standinRun
			for _, r := range w.running {
				if first == nil || r.begunAt.Before(first.begunAt) {
					first = r
				}
			}
			if first != nil {
				w.end(first, "failed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *standinWorker) end(r *standinRun, how string) {
	delete(w.running, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.run)
	w.lastEnd++
	w.finished = append(w.finished, standinEnd{w.lastEnd, r.task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	tell(event{Kind: "ended", Task: r.task, Run: r.run, How: how})
}

// report sends status reports: the first at the start, then one each heartbeatEvery. After a
// second without a confirmation the next daemon is called.
func (w *standinWorker) report() {
	next := 0
	address := ""
	for {
		if address == "" {
			address = w.controls[next%len(w.controls)]
		}
		named, ok := w.sendReport(address)
		if !ok {
			address = ""
			next++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if named != "" {
			address = named
		}
		time.Sleep(heartbeatEvery)
	}
}

func (w *standinWorker) sendReport(address string) (named string, ok bool) {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": w.gpus}, "labels": w.labels,
		"clock_ms": w.clockMS(), "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/instances/"+w.id+"/heartbeat", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 {
		return "", false
	}
	var out struct {
		Address string `json:"heartbeat_addr"`
	}
	_ = json.Unmarshal(data, &out)
	return out.Address, true
}
