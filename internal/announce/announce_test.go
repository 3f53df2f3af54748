package announce

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// network delivers messages synchronously.
type network struct {
	handlers map[string]link.Handler
	bytes    int
	dropAll  bool
}

// peer is the link.Peers of one instance.
type peer struct {
	network *network
	self    string
}

func (p *peer) Call(context.Context, string, link.Kind, []byte) ([]byte, error) { return nil, nil }

func (p *peer) Send(to string, _ link.Kind, body []byte) {
	if p.network.dropAll {
		return
	}
	p.network.bytes += len(body)
	_, _ = p.network.handlers[to](context.Background(), p.self, body)
}

func (p *peer) Handle(_ link.Kind, h link.Handler) { p.network.handlers[p.self] = h }

func newSpreaders(n *network, names ...string) []*Spreader {
	n.handlers = map[string]link.Handler{}
	var out []*Spreader
	for _, name := range names {
		s := &Spreader{
			Self: name, Zone: "z", Board: blackboard.New(), Peers: &peer{n, name},
			InZone: func(string) []string { return names },
		}
		s.Register()
		out = append(out, s)
	}
	return out
}

func testWorker(name string, seq uint64) model.Worker {
	return model.Worker{Name: name, AvailabilityZone: "z", Rack: "r", Accelerators: 8, Incarnation: 1, Seq: seq}
}

// Guards against an instance that does not get the announcement of a new or
// leaving worker.
func TestNewAndLeavingWorkersReachAll(t *testing.T) {
	is := is.New(t)
	s := newSpreaders(&network{}, "a", "b", "c")
	s[0].Announce(testWorker("w", 1))
	leaving := testWorker("w", 2)
	leaving.Leaving = true
	s[1].Announce(leaving)
	for _, x := range s {
		e, ok := x.Board.Get("w")
		is.True(ok)
		is.True(e.Worker.Leaving)
	}
}

// Guards against an announcement that stays unknown to an instance after its
// message was lost.
func TestLostAnnouncementIsRequested(t *testing.T) {
	is := is.New(t)
	n := &network{}
	s := newSpreaders(n, "a", "b")
	n.dropAll = true
	s[0].Announce(testWorker("w", 1))
	n.dropAll = false
	s[0].Announce(testWorker("w", 2))
	s[0].sendAliveBatch()
	_, ok := s[1].Board.Get("w")
	is.True(ok)
}

// Guards against a late announcement that makes a leaving worker available again.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSpreaders(&network{}, "a", "b")
	leaving := testWorker("w", 5)
	leaving.Leaving = true
	s[0].Announce(leaving)
	s[1].Announce(testWorker("w", 4))
	old := testWorker("w", 9)
	old.Incarnation = 0
	s[1].Announce(old)
	e, _ := s[1].Board.Get("w")
	is.True(e.Worker.Leaving)
	is.Equal(s[1].Board.Announce(leaving, time.Now()), blackboard.Stale)
}

// BenchmarkPeriod reports the bytes that one instance sends to another in a period,
// for different numbers of workers that announce themselves to it.
func BenchmarkPeriod(b *testing.B) {
	for _, workers := range []int{17, 170, 288} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n := &network{}
			s := newSpreaders(n, "a", "b")
			name := func(i int) string { return fmt.Sprint("worker-", i) }
			for i := range workers {
				s[0].Announce(testWorker(name(i), 1))
			}
			n.bytes = 0
			for k := range b.N {
				for i := range workers {
					s[0].Announce(testWorker(name(i), uint64(k+2)))
				}
				s[0].sendAliveBatch()
			}
			b.ReportMetric(float64(n.bytes)/float64(b.N), "bytes/period")
		})
	}
}
