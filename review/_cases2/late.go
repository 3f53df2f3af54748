package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// delayer stands before a worker and forwards calls. It withholds one start order: the sender gets no
// answer, and the order reaches the worker's address later.
type delayer struct {
	w   *worker
	by  time.Duration
	srv *http.Server

	mu       sync.Mutex  // guards the fields below
	armed    bool        // the next start is to be withheld
	withheld string      // name of the work unit
	executed chan string // the worker's answer to the order
}

func newDelayer(w *worker, by time.Duration, armed bool) (*delayer, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.port+1))
	if err != nil {
		return nil, err
	}
	x := &delayer{w: w, by: by, armed: armed, executed: make(chan string, 1)}
	w.advertise = ln.Addr().String()
	x.srv = &http.Server{Handler: x}
	go func() { _ = x.srv.Serve(ln) }()
	return x, nil
}

func (x *delayer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/run-start" && x.withhold(body) {
		go x.deliverLater(r.Header.Get("X-Teaselpaddle-Expect-Instance"), body)
		select { // no answer: the connection stays open until the sender gives up
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, fmt.Sprintf("http://%s:%d%s", x.w.ip, x.w.port, r.URL.Path), bytes.NewReader(body))
	req.Header = r.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	rw.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(rw, resp.Body)
}

// withhold reports whether the order is the one to be withheld.
func (x *delayer) withhold(body []byte) bool {
	var o orderBody
	if json.Unmarshal(body, &o) != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.armed || x.withheld != "" {
		return false
	}
	x.withheld = o.Task
	x.w.d.rec.printf("start of %s run %d at worker %s gets no answer; it will be carried out %v later", o.Task, o.Run, x.w.id, x.by)
	return true
}

func (x *delayer) deliverLater(expect string, body []byte) {
	time.Sleep(x.by)
	status, answer := send("POST", fmt.Sprintf("%s:%d", x.w.ip, x.w.port), "/run-start", map[string]string{"X-Teaselpaddle-Expect-Instance": expect}, string(body), time.Second)
	x.w.d.rec.printf("the delayed start reaches the address of worker %s: %d %s", x.w.id, status, answer)
	x.executed <- fmt.Sprintf("%d %s", status, answer)
}

const (
	lateBy    = 8 * time.Second         // an order is carried out 2 to 12 s later
	drainTime = 2500 * time.Millisecond // drain_ms is 2000, and a little longer
	awayTime  = 700 * time.Millisecond  // between the end of a life and the start of the next one
)

// lateStart: a worker leaves a start unanswered and carries it out 8 s later. Meanwhile it has drained,
// left, and started again under its id, and the work unit runs on another worker.
func lateStart(rec *record, trouble bool) error {
	d, j, err := startSmall(rec, jptfaSched, 0, desiredState(jptfaSched, 1, 4))
	if err != nil {
		return err
	}
	defer d.close()
	var xs []*delayer
	for range 16 {
		w := d.newWorker(j)
		x, err := newDelayer(w, lateBy, trouble)
		if err != nil {
			return err
		}
		defer func() { _ = x.srv.Close() }()
		xs = append(xs, x)
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := d.waitAcknowledged(); err != nil {
		return err
	}
	c := newConsumer(rec)
	const id = "5c0e7a21d94b36f8"
	if !c.submit(d.entry, "/nest/"+id, `{"task_spec":"plan work_ms=9000","steps":[{"count":1,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":8000}]}`) {
		return notRun("the job was not accepted")
	}
	answer := "not withheld"
	if trouble {
		var x *delayer
		if !waitFor(5*time.Second, func() bool { x = firstWithheld(xs); return x != nil }) {
			return notRun("no start was sent")
		}
		for _, y := range xs { // all further orders are answered
			y.disarm()
		}
		x.w.leave(drainTime)
		time.Sleep(awayTime)
		if err := x.w.start(); err != nil {
			return err
		}
		answer = <-x.executed
	}
	rec.printf("the late start was answered: %s", answer)
	time.Sleep(13 * time.Second)
	return judgeTwice(rec, c, d, j, id)
}

// judgeTwice returns an error if two runs of a work unit of the job were on workers at the same time, or if
// not exactly one run has ended as done.
func judgeTwice(rec *record, c *consumer, d *deployment, j *journal, id string) error {
	state := c.state(d.entry[1], "/nest/"+id)
	spans := j.of(id)
	for a := range spans {
		rec.printf("run %d on %s at %s, life %d: %s to %s, %s", spans[a].run, spans[a].worker, spans[a].address, spans[a].life, rec.at(spans[a].began), rec.at(spans[a].end), spans[a].how)
	}
	for a := range spans {
		for b := range spans[:a] {
			if spans[a].task == spans[b].task && overlap(&spans[a], &spans[b]) > 100*time.Millisecond {
				return broken("TWICE: runs %d and %d of %s were at work at the same time for %v; the job is %s",
					spans[b].run, spans[a].run, spans[a].task, overlap(&spans[a], &spans[b]).Round(time.Millisecond), state)
			}
		}
	}
	if n := strings.Count(fmt.Sprint(spans), " done"); n != 1 {
		return broken("TWICE or LOST: %d runs have ended done; the job is %s", n, state)
	}
	return nil
}

// firstWithheld returns the delayer that has withheld a start, or nil.
func firstWithheld(xs []*delayer) *delayer {
	for _, x := range xs {
		x.mu.Lock()
		withheld := x.withheld != ""
		x.mu.Unlock()
		if withheld {
			return x
		}
	}
	return nil
}

func (x *delayer) disarm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.armed = false
}

// overlap returns the time for which two runs were there together.
func overlap(a, b *span) time.Duration {
	now := time.Now()
	endOf := func(s *span) time.Time {
		if s.end.IsZero() {
			return now
		}
		return s.end
	}
	from, to := a.began, endOf(a)
	if b.began.After(from) {
		from = b.began
	}
	if e := endOf(b); e.Before(to) {
		to = e
	}
	return max(to.Sub(from), 0)
}
