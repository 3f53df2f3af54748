package main

import (
	"fmt"
	"time"
)

const (
	host = "desk.example"
	key  = "d4a3hwrr6x73d3zji9n7"
)

// desiredState returns a desired state with two routes. maxAttempts is that of the second one.
func desiredState(s *site, version, maxAttempts int) string {
	return stateOf(s, version, keepRoute(s)+","+nestRoute(s, maxAttempts))
}

func stateOf(s *site, version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],
 "services":[{"name":%q,"health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"utility","api_keys":[%q],"priority":1,"guaranteed_gpus":{"gpu":8}}]}`, version, routes, s.service, key)
}

func keepRoute(s *site) string {
	return fmt.Sprintf(`{"name":"r-keep","host":%q,"path_prefix":"/keep/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":%q,"max_attempts":3,"stretch":3.0,"public":false}`, host, s.service)
}

func nestRoute(s *site, maxAttempts int) string {
	return fmt.Sprintf(`{"name":"r-nest","host":%q,"path_prefix":"/nest/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":%q,"max_attempts":%d,"stretch":3.0,"public":false}`, host, s.service, maxAttempts)
}

// startSmall starts a deployment with workers of one service and publishes the first desired state.
func startSmall(rec *record, s *site, workers int, state string) (*deployment, *journal, error) {
	d, err := newDeployment(rec, s, 2)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{}
	if err = d.publish(state); err == nil {
		err = d.waitReady(startLimit)
	}
	for range workers {
		if err == nil {
			err = d.newWorker(j).start()
		}
	}
	if err == nil {
		err = d.waitAcknowledged()
	}
	if err != nil {
		d.close()
		return nil, nil, err
	}
	return d, j, nil
}

// waitAcknowledged waits until a status report of each worker was acknowledged.
func (d *deployment) waitAcknowledged() error {
	for _, w := range d.workers {
		if !waitFor(5*time.Second, w.acknowledged) {
			return notRun("no status report of worker %s was acknowledged", w.id)
		}
	}
	return nil
}

// waitFor waits until f is true, and reports whether it was within the limit.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
