package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Host and key of the consumers' requests.
const host = "orders.example"

// callTimeout is how long consumers wait for an answer.
const callTimeout = 3 * time.Second

// client sends the requests of consumers and the operator.
type client struct {
	deployment *deployment
	http       *http.Client
}

func newClient(d *deployment) *client {
	return &client{deployment: d, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// do sends a request and returns the status and the body; the status is 0 without an answer.
func (c *client) do(method, url, key string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Host = host
		req.Header.Set("X-Api-Key", key)
		req.Header.Set("X-Teaselpaddle-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// route is a queue of a desired state.
type route struct {
	name, prefix string
	priority     int
	public       bool
}

// tenant is a customer of a desired state. Its key is its name.
type tenant struct {
	name       string
	guaranteed int
}

const service = "order-desk"

// publish sends a desired state until it is acknowledged.
func (c *client) publish(version int, routes []route, tenants []tenant) error {
	var rs, ts []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "route_type": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": r.priority, "service": service, "max_attempts": 4, "stretch": 3.0, "public": r.public,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{
			"name": t.name, "api_keys": []string{"key-of-" + t.name}, "priority": 1, "guaranteed_gpus": map[string]int{"gpu": t.guaranteed},
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": rs, "tenants": ts,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	for i := range 200 {
		status, _ := c.do(http.MethodPost, "http://"+c.deployment.controlAddress(i)+"/config/put", "", body)
		if status/100 == 2 {
			c.deployment.rec.printf("operator version %d with %d routes: %d", version, len(routes), status)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the desired state was not acknowledged")
}

// step is one step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"mem_mb,omitempty"`
	GPU         int    `json:"gpu,omitempty"`
	EstimateMS  int    `json:"estimate_ms,omitempty"`
	DependsOn   []int  `json:"depends_on,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Label       string `json:"required_label,omitempty"`
}

// submit hands a job in until it is accepted.
func (c *client) submit(prefix, tenant string, j *jobSpec, steps ...step) error {
	c.deployment.registry.add(j)
	body, err := json.Marshal(map[string]any{"task_spec": "work of " + j.id, "steps": steps})
	if err != nil {
		return err
	}
	for i := range 20 {
		status, _ := c.do(http.MethodPost, "http://"+c.deployment.entryAddress(i)+prefix+j.id, "key-of-"+tenant, body)
		c.deployment.rec.printf("consumer POST %s%s of %s: %d  %s", prefix, j.id, tenant, status, body)
		if status/100 == 2 {
			j.accepted = true
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// quietState asks for the state of a job. It returns the status and the state.
func (c *client) quietState(prefix, tenant, id string) (int, string) {
	var answer struct {
		State string `json:"state"`
	}
	status, data := c.do(http.MethodGet, "http://"+c.deployment.entryAddress(0)+prefix+id, "key-of-"+tenant, nil)
	_ = json.Unmarshal(data, &answer)
	return status, answer.State
}

// state does the same and records it.
func (c *client) state(prefix, tenant, id string) (int, string) {
	status, state := c.quietState(prefix, tenant, id)
	c.deployment.rec.printf("consumer GET %s%s of %s: %d %s", prefix, id, tenant, status, state)
	return status, state
}
