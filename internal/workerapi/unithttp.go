package workerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Paths of the orders for units on a worker.
const (
	UnitStartPath = "/v1/units/start"
	UnitStopPath  = "/v1/units/stop"
	UnitHoldPath  = "/v1/units/hold"
)

// UnitAnnouncement is the body of the announcement of a worker that runs units.
type UnitAnnouncement struct {
	batch.Worker
	// ClockMS is the worker's steady clock when it sent the announcement, ms; 0 if it does
	// not tell. It shows how long an announcement was on its way.
	ClockMS int64 `json:"clock_ms,omitempty"`
}

// UnitCommand is the body of an order: a UnitStart, a UnitStop or a UnitHold
// for the named worker. A worker with another name answers with status 421.
type UnitCommand struct {
	Worker     string        `json:"worker"`
	Epoch      uint64        `json:"epoch"`
	Unit       batch.UnitRef `json:"unit,omitzero"`
	Run        int           `json:"run,omitempty"`
	Payload    string        `json:"payload,omitempty"`
	UntilMS    int64         `json:"until_clock_ms,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	AckedEnds  int64         `json:"noted,omitempty"`
	WaitMS     int64         `json:"wait_ms,omitempty"`
}

// UnitAnswer is the body of an answer with status 200, or 409 with Refused set.
// An unhealthy worker answers with status 503 and does not carry out the order.
type UnitAnswer struct {
	Refused     OrderRefusal  `json:"refused,omitempty"`
	Incarnation int64         `json:"life"`
	ClockMS     int64         `json:"clock_ms"`
	Runs        []UnitRunView `json:"runs,omitempty"`
	Ends        []UnitEndView `json:"ends,omitempty"`
	MoreEnds    bool          `json:"more_ends,omitempty"` // further ends follow once these are acknowledged
}

// UnitRunView is the JSON form of a UnitRun.
type UnitRunView struct {
	Unit       batch.UnitRef `json:"unit"`
	Run        int           `json:"run"`
	Checkpoint string        `json:"saved,omitempty"`
	Percent    int           `json:"percent"`
}

// UnitEndView is the JSON form of a UnitEnd. How is the name of the ending.
type UnitEndView struct {
	Number     int64         `json:"number"`
	Unit       batch.UnitRef `json:"unit"`
	Run        int           `json:"run"`
	How        string        `json:"how"`
	Checkpoint string        `json:"saved,omitempty"`
}

// UnitHTTPClient sends orders for units as JSON over HTTP. It implements
// UnitClient.
type UnitHTTPClient struct{ http *HTTPClient }

// NewUnitHTTPClient returns a client. The context of each call sets its
// deadline.
func NewUnitHTTPClient() *UnitHTTPClient { return &UnitHTTPClient{http: NewHTTPClient()} }

// Start implements UnitClient.
func (c *UnitHTTPClient) Start(ctx context.Context, w UnitWorker, o UnitStart) error {
	_, err := c.sendOrder(ctx, w, UnitStartPath, &UnitCommand{
		Unit: o.Unit, Run: o.Run, Payload: o.Payload, UntilMS: o.UntilMS, Epoch: o.Epoch, Checkpoint: o.Checkpoint,
	})
	return err
}

// Stop implements UnitClient.
func (c *UnitHTTPClient) Stop(ctx context.Context, w UnitWorker, o UnitStop) error {
	_, err := c.sendOrder(ctx, w, UnitStopPath, &UnitCommand{Unit: o.Unit, Run: o.Run, Epoch: o.Epoch})
	return err
}

// Hold implements UnitClient.
func (c *UnitHTTPClient) Hold(ctx context.Context, w UnitWorker, o UnitHold) (*UnitReport, error) {
	a, err := c.sendOrder(ctx, w, UnitHoldPath, &UnitCommand{UntilMS: o.UntilMS, Epoch: o.Epoch, AckedEnds: o.AckedEnds, WaitMS: o.WaitMS})
	if err != nil {
		return nil, err
	}
	return a.toReport()
}

func (c *UnitHTTPClient) sendOrder(ctx context.Context, w UnitWorker, path string, o *UnitCommand) (*UnitAnswer, error) {
	o.Worker = w.ID
	status, data, err := c.http.post(ctx, w.Address, path, o)
	if err != nil {
		return nil, &NoAnswerError{Cause: err}
	}
	var a UnitAnswer
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := json.Unmarshal(data, &a); err != nil {
			return nil, &NoAnswerError{Cause: err}
		}
		if status == http.StatusConflict {
			if !a.Refused.Known() {
				return nil, NewUnknownRefusal(string(a.Refused))
			}
			return nil, &OrderRefusedError{Reason: a.Refused}
		}
		return &a, nil
	case http.StatusBadRequest:
		return nil, &OrderRefusedError{Reason: RefusedInvalidOrder}
	case http.StatusMisdirectedRequest:
		return nil, &WrongWorkerError{Worker: w.ID}
	case http.StatusServiceUnavailable:
		return nil, &UnhealthyError{Status: status}
	}
	return nil, &NoAnswerError{Cause: &StatusError{Status: status}}
}

// UnknownEndingError is returned for the name of an ending that does not exist.
type UnknownEndingError struct{ Name string }

func (e *UnknownEndingError) Error() string { return fmt.Sprintf("ending %q is not known", e.Name) }

// toReport converts the answer to a hold. An answer with an unknown ending is
// rejected as a whole, because a run that was left out would count as lost.
func (a *UnitAnswer) toReport() (*UnitReport, error) {
	rep := &UnitReport{Incarnation: a.Incarnation, ClockMS: a.ClockMS, MoreEnds: a.MoreEnds}
	for _, r := range a.Runs {
		rep.Runs = append(rep.Runs, UnitRun(r))
	}
	for _, e := range a.Ends {
		how, known := batch.ParseEnding(e.How)
		if !known {
			return nil, &NoAnswerError{Cause: &UnknownEndingError{Name: e.How}}
		}
		rep.Ends = append(rep.Ends, UnitEnd{Number: e.Number, Unit: e.Unit, Run: e.Run, How: how, Checkpoint: e.Checkpoint})
	}
	return rep, nil
}
