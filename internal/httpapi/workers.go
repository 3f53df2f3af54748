package httpapi

import (
	"net/http"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	var wk model.Worker
	end, err := decode(w, r, &wk)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	if ref := checkWorker(&wk, a.Router.Zones); ref != nil {
		refuse(w, ref)
		return
	}
	a.Announce(wk)
	w.WriteHeader(http.StatusNoContent)
}

// report answers after the report is committed.
func (a *API) report(w http.ResponseWriter, r *http.Request) {
	var rep workerapi.Report
	end, err := decode(w, r, &rep)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	if ref := a.checkReport(&rep); ref != nil {
		refuse(w, ref)
		return
	}
	if err := a.Router.Report(r.Context(), &rep); err != nil {
		writeError(w, withoutState(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
