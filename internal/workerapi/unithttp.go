package workerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Paths of the units' orders on a worker.
const (
	UnitStartPath = "/v1/units/start"
	UnitStopPath  = "/v1/units/stop"
	UnitHoldPath  = "/v1/units/hold"
)

// UnitCommand is the body of an order: a UnitStart, a UnitStop or a UnitHold for
// the named worker. A worker with another name answers with 421.
type UnitCommand struct {
	Worker     string        `json:"worker"`
	Epoch      uint64        `json:"epoch"`
	Unit       batch.UnitRef `json:"unit,omitzero"`
	Run        int           `json:"run,omitempty"`
	Payload    string        `json:"payload,omitempty"`
	UntilMS    int64         `json:"until_clock_ms,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Noted      int64         `json:"noted,omitempty"`
	WaitMS     int64         `json:"wait_ms,omitempty"`
}

// UnitAnswer is the body of an answer: of 200, and of 409 with Refused set. 503
// comes from an unhealthy worker, which has done nothing.
type UnitAnswer struct {
	Refused OrderRefusal  `json:"refused,omitempty"`
	Life    int64         `json:"life"`
	ClockMS int64         `json:"clock_ms"`
	Runs    []UnitRunView `json:"runs,omitempty"`
	Ends    []UnitEndView `json:"ends,omitempty"`
}

// UnitRunView is a UnitRun in JSON.
type UnitRunView struct {
	Unit    batch.UnitRef `json:"unit"`
	Run     int           `json:"run"`
	Saved   string        `json:"saved,omitempty"`
	Percent int           `json:"percent"`
}

// UnitEndView is a UnitEnd in JSON; How is the ending's name.
type UnitEndView struct {
	Number int64         `json:"number"`
	Unit   batch.UnitRef `json:"unit"`
	Run    int           `json:"run"`
	How    string        `json:"how"`
	Saved  string        `json:"saved,omitempty"`
}

// UnitHTTPClient sends the units' orders as JSON over HTTP. It implements
// UnitClient.
type UnitHTTPClient struct{ http *HTTPClient }

// NewUnitHTTPClient returns a client; the context of each call bounds its time.
func NewUnitHTTPClient() *UnitHTTPClient { return &UnitHTTPClient{http: NewHTTPClient()} }

// Start implements UnitClient.
func (c *UnitHTTPClient) Start(ctx context.Context, w UnitWorker, o UnitStart) error {
	_, err := c.order(ctx, w, UnitStartPath, &UnitCommand{
		Unit: o.Unit, Run: o.Run, Payload: o.Payload, UntilMS: o.UntilMS, Epoch: o.Epoch, Checkpoint: o.Checkpoint,
	})
	return err
}

// Stop implements UnitClient.
func (c *UnitHTTPClient) Stop(ctx context.Context, w UnitWorker, o UnitStop) error {
	_, err := c.order(ctx, w, UnitStopPath, &UnitCommand{Unit: o.Unit, Run: o.Run, Epoch: o.Epoch})
	return err
}

// Hold implements UnitClient.
func (c *UnitHTTPClient) Hold(ctx context.Context, w UnitWorker, o UnitHold) (*UnitReport, error) {
	a, err := c.order(ctx, w, UnitHoldPath, &UnitCommand{UntilMS: o.UntilMS, Epoch: o.Epoch, Noted: o.Noted, WaitMS: o.WaitMS})
	if err != nil {
		return nil, err
	}
	return a.report()
}

func (c *UnitHTTPClient) order(ctx context.Context, w UnitWorker, path string, o *UnitCommand) (*UnitAnswer, error) {
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
			return nil, &OrderRefusedError{Reason: a.Refused}
		}
		return &a, nil
	case http.StatusBadRequest:
		return nil, &OrderRefusedError{Reason: RefusedOrder}
	case http.StatusMisdirectedRequest:
		return nil, &WrongLifeError{Worker: w.ID}
	case http.StatusServiceUnavailable:
		return nil, &UnhealthyError{Status: status}
	}
	return nil, &NoAnswerError{Cause: &StatusError{Status: status}}
}

// EndingError is an ending that is not known.
type EndingError struct{ Name string }

func (e *EndingError) Error() string { return fmt.Sprintf("ending %q is not known", e.Name) }

// report translates the lists of a hold. A report with an end that cannot be
// read is refused as a whole: a run left out would count as lost.
func (a *UnitAnswer) report() (*UnitReport, error) {
	rep := &UnitReport{Life: a.Life, ClockMS: a.ClockMS}
	for _, r := range a.Runs {
		rep.Runs = append(rep.Runs, UnitRun(r))
	}
	for _, e := range a.Ends {
		how, known := batch.ParseEnding(e.How)
		if !known {
			return nil, &NoAnswerError{Cause: &EndingError{Name: e.How}}
		}
		rep.Ends = append(rep.Ends, UnitEnd{Number: e.Number, Unit: e.Unit, Run: e.Run, How: how, Saved: e.Saved})
	}
	return rep, nil
}
