package httpapi

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Guards against an unbounded number of concurrent requests: requests beyond the
// limit must be refused, and probes must still be answered.
func TestRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	f := start(t, func(a *API) { a.MaxRequests = 1 })
	id := string(model.NewJobID("z-1", "c", key("z-1", 0)))
	status, _, _, _ := f.call(t, "POST", "/v1/jobs", body(key("z-1", 0), ""))
	is.Equal(status, http.StatusAccepted)
	waiting := make(chan int)
	go func() {
		resp, err := http.Get(f.srv.URL + "/v1/jobs/" + id + "?wait=400ms")
		if err != nil {
			waiting <- 0
			return
		}
		_ = resp.Body.Close()
		waiting <- resp.StatusCode
	}()
	time.Sleep(100 * time.Millisecond)
	f.expect(t, &refusal{method: "GET", path: "/v1/jobs/" + id, code: model.ReasonOverloaded, status: 503, retry: true})
	resp, err := http.Get(f.srv.URL + "/healthz")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(<-waiting, http.StatusOK)
	status, _, _, _ = f.call(t, "GET", "/v1/jobs/"+id, "")
	is.Equal(status, http.StatusOK)
}

// Guards against a truncated body that is taken as complete, and against slow
// clients that hold a connection.
func TestSlowAndBrokenClients(t *testing.T) {
	is := is.New(t)
	limits := requestLimits
	limits.HeaderTimeout = 100 * time.Millisecond
	f := start(t, nil, func(s *httpserver.Server) { s.SetRequestLimits(limits) })
	addr := f.srv.Listener.Addr().String()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		return c
	}
	c := dial("GET /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Slow: ") // never ends its header
	_, err := io.ReadAll(c)
	is.NoErr(err) // closed by the server
	_ = c.Close()

	c = dial("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"customer\":")
	_ = c.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	_ = c.Close()

	c = dial("GET /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Large: " + strings.Repeat("x", 2*requestLimits.HeaderBytes) + "\r\n\r\n")
	resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	_ = c.Close()
}

// Guards against a GET with a wait parameter that ends at the server's read
// timeout.
func TestWaitOutlastsReadTimeout(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, func(s *httpserver.Server) { s.ReadTimeout = 150 * time.Millisecond })
	status, _, _, _ := f.call(t, "POST", "/v1/jobs", body(key("z-1", 0), ""))
	is.Equal(status, http.StatusAccepted)
	http.DefaultClient.CloseIdleConnections()
	begun := time.Now()
	status, _, _, _ = f.call(t, "GET", "/v1/jobs/"+string(model.NewJobID("z-1", "c", key("z-1", 0)))+"?wait=500ms", "")
	is.Equal(status, http.StatusOK)
	is.True(time.Since(begun) >= 500*time.Millisecond)
}

// Guards against a panic that closes a connection without an answer, and against
// internal error texts in answers.
func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	a := &API{Log: logr.Discard()}
	w := httptest.NewRecorder()
	before := refusalCount(model.ReasonInternal)
	recoverPanics(a.Log)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("x") })).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(refusalCount(model.ReasonInternal), before+1)
	w = httptest.NewRecorder()
	writeError(w, fmt.Errorf("text that tells too much"))
	is.True(!strings.Contains(w.Body.String(), "too much"))
}

// FuzzDecode guards against a panic in the decoder and a refusal without a reason.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(body("k", "")))
	f.Add([]byte(validWorker))
	f.Fuzz(func(t *testing.T, data []byte) {
		var spec model.JobSpec
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(data))
		if _, ref := decodeBody(httptest.NewRecorder(), r, &spec); ref != nil && ref.Reason == "" {
			t.Fatal("refused without a reason")
		}
	})
}
