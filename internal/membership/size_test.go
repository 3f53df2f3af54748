package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// linkOverheadBytes is the size of what the link adds to each message: 18
// bytes for kind, version and other fields of the envelope, 8 for the WebSocket
// header with mask.
const linkOverheadBytes = 26

// Guards against control traffic that grows with the number of instances beyond
// 2 KB/s per daemon. The test logs the traffic of all-to-all heartbeats for
// comparison, in which each instance sends its own record to all others at the same
// interval. The load is that of an ordinary day: a new configuration every 8 s on
// every instance, and a restart every 41 s.
func TestBytesPerSecond(t *testing.T) {
	t.Parallel()
	for _, n := range []int{9, 90, 270} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { bytesPerSecond(t, n) })
	}
}

func bytesPerSecond(t *testing.T, n int) {
	t.Parallel()
	const seconds = 48
	is := is.New(t)
	s := newConvergedSim(t, n, uint64(n))
	pick := rand.New(rand.NewPCG(uint64(n), 3))
	s.bytes, s.messages, s.largest = 0, 0, 0
	for second := range seconds {
		if second%8 == 0 {
			for _, name := range s.names {
				f := s.cores[name].cfg.Facts
				f.ConfigVersion++
				s.cores[name].SetFacts(f)
			}
		}
		if second%41 == 0 {
			s.boot(s.names[pick.IntN(n)])
		}
		s.run(10)
	}
	self := s.cores[s.names[0]]
	data, err := codec.Marshal(&Message{
		Kind: Ping, Seq: 1 << 16, Incarnation: 1 << 63, Epoch: 9, Digest: 1 << 31,
		Records: []Record{self.outgoingRecord(self.self())},
	})
	is.NoErr(err)
	sent := float64(s.bytes+s.messages*linkOverheadBytes) / seconds / float64(n)
	allToAll := float64((len(data)+linkOverheadBytes)*(n-1)) / (float64(defaultProbeTicks) / 10)
	t.Logf("%3d instances: %4.0f B/s sent per daemon (%.2f messages/s, largest %d B); all-to-all %5.0f B/s",
		n, sent, float64(s.messages)/seconds/float64(n), s.largest, allToAll)
	is.True(sent < 2048)
	is.True(s.largest < maxMessageBytes)
}
