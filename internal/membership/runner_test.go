package membership

import (
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/link"
)

// instance is a Runner with real links.
type instance struct {
	*Runner
	links *link.Links
	srv   *http.Server
}

func startInstance(t *testing.T, name string, ln net.Listener, addresses map[string]string, incarnation uint64) *instance {
	links := link.New(link.Config{Self: name, Addresses: addresses, Metrics: metrics.NewSet()})
	var names []string
	for n := range addresses {
		names = append(names, n)
	}
	r := Start(Config{
		Self: name, Incarnation: incarnation, Members: names, Facts: Facts{Zone: "z"},
		Rand: rand.New(rand.NewPCG(incarnation, 1)), ProbeTicks: 2, AckTicks: 1,
	}, links, logr.Discard())
	in := &instance{Runner: r, links: links, srv: &http.Server{Handler: links.Handler()}}
	go func() { _ = in.srv.Serve(ln) }()
	t.Cleanup(in.stop)
	return in
}

func (in *instance) stop() {
	in.Close()
	_ = in.srv.Close()
	in.links.Close()
}

// Guards against a Runner that does not work over real links: another instance
// crashes, a new process starts under its name, and all goroutines must end.
func TestRunnerOverLinks(t *testing.T) {
	is := is.New(t)
	addresses := map[string]string{}
	listeners := map[string]net.Listener{}
	for _, n := range []string{"a", "b", "c"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[n], addresses[n] = ln, ln.Addr().String()
	}
	a := startInstance(t, "a", listeners["a"], addresses, 1)
	startInstance(t, "b", listeners["b"], addresses, 2)
	c := startInstance(t, "c", listeners["c"], addresses, 3)
	wait := func(want State, incarnation uint64) {
		t.Helper()
		end := time.Now().Add(10 * time.Second)
		for {
			m := a.Snapshot()[2]
			if m.State == want && m.Incarnation == incarnation {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("c is %v#%d, want %v#%d", m.State, m.Incarnation, want, incarnation)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	wait(Alive, 3)
	c.stop()
	wait(Dead, 3)
	ln, err := net.Listen("tcp", addresses["c"])
	is.NoErr(err)
	startInstance(t, "c", ln, addresses, 9)
	wait(Alive, 9)
}
