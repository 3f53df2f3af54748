package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// send sends a request on a connection of its own and returns the status and the body. Status 0
// means that no complete response arrived in time.
func send(method, address, path string, headers map[string]string, body string, timeout time.Duration) (int, string) {
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range headers {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// consumer is a client of the system.
type consumer struct {
	rec  *record
	name string
	host string
	key  string
}

func newConsumer(rec *record) *consumer {
	return &consumer{rec: rec, name: "consumer", host: host, key: key}
}

// call sends a request to an entry instance, waits for the answer up to the deadline, and records both.
func (c *consumer) call(in *instance, method, path, body string, deadline time.Duration) (int, string) {
	h := map[string]string{"Host": c.host, "X-Teaselpaddle-Deadline-Ms": "3000"}
	if c.key != "" {
		h["X-Api-Key"] = c.key
	}
	c.rec.printf("%s sends %s %s to %s %s", c.name, method, path, in.name, body)
	status, answer := send(method, in.callerAddress(), path, h, body, deadline)
	if status == 0 {
		c.rec.printf("%s has no answer to %s %s: %s", c.name, method, path, answer)
		return 0, ""
	}
	c.rec.printf("%s gets %d %s for %s %s", c.name, status, answer, method, path)
	return status, answer
}

// submit hands a job in, at one entry instance after the other, until it is accepted.
func (c *consumer) submit(ins []*instance, path, body string) bool {
	for i := range 12 {
		if status, _ := c.call(ins[i%len(ins)], "POST", path, body, 3*time.Second); status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
