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

// network delivers messages between spreaders in order of sending.
type network struct {
	handlers map[string]link.Handler
	bytes    int
	drop     bool
}

// port is one instance's access to the network.
type port struct {
	n    *network
	self string
}

func (p *port) Call(context.Context, string, link.Kind, []byte) ([]byte, error) { return nil, nil }

func (p *port) Send(to string, _ link.Kind, body []byte) {
	if p.n.drop {
		return
	}
	p.n.bytes += len(body)
	_, _ = p.n.handlers[to](context.Background(), p.self, body)
}

func (p *port) Handle(_ link.Kind, h link.Handler) { p.n.handlers[p.self] = h }

func spreaders(n *network, names ...string) []*Spreader {
	n.handlers = map[string]link.Handler{}
	var out []*Spreader
	for _, name := range names {
		s := &Spreader{
			Self: name, Zone: "z", Board: blackboard.New(), Peers: &port{n, name},
			InZone: func(string) []string { return names },
		}
		s.Register()
		out = append(out, s)
	}
	return out
}

func worker(name string, seq uint64) model.Worker {
	return model.Worker{Name: name, AvailabilityZone: "z", Rack: "r", Accelerators: 8, Incarnation: 1, Seq: seq}
}

// Guards against an instance that does not learn of a new or leaving worker.
func TestNewsReachesAll(t *testing.T) {
	is := is.New(t)
	s := spreaders(&network{}, "a", "b", "c")
	s[0].Announce(worker("w", 1))
	leaving := worker("w", 2)
	leaving.Leaving = true
	s[1].Announce(leaving)
	for _, x := range s {
		e, ok := x.Board.Get("w")
		is.True(ok)
		is.True(e.Worker.Leaving)
	}
}

// Guards against a lost message that is never made good.
func TestLostNewsIsAskedFor(t *testing.T) {
	is := is.New(t)
	n := &network{}
	s := spreaders(n, "a", "b")
	n.drop = true
	s[0].Announce(worker("w", 1))
	n.drop = false
	s[0].Announce(worker("w", 2))
	s[0].flush()
	_, ok := s[1].Board.Get("w")
	is.True(ok)
}

// Guards against a late announcement that brings a leaving worker back.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	s := spreaders(&network{}, "a", "b")
	leaving := worker("w", 5)
	leaving.Leaving = true
	s[0].Announce(leaving)
	s[1].Announce(worker("w", 4))
	old := worker("w", 9)
	old.Incarnation = 0
	s[1].Announce(old)
	e, _ := s[1].Board.Get("w")
	is.True(e.Worker.Leaving)
	is.Equal(s[1].Board.Announce(leaving, time.Now()), blackboard.Stale)
}

// BenchmarkPeriod reports the bytes that one instance sends to one other in a
// period, for the workers that announce themselves to it.
func BenchmarkPeriod(b *testing.B) {
	for _, workers := range []int{17, 170, 288} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n := &network{}
			s := spreaders(n, "a", "b")
			name := func(i int) string { return fmt.Sprint("worker-", i) }
			for i := range workers {
				s[0].Announce(worker(name(i), 1))
			}
			n.bytes = 0
			for k := range b.N {
				for i := range workers {
					s[0].Announce(worker(name(i), uint64(k+2)))
				}
				s[0].flush()
			}
			b.ReportMetric(float64(n.bytes)/float64(b.N), "bytes/period")
		})
	}
}
