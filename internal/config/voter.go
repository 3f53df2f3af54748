package config

import (
	"context"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
)

// Voter answers the zones' requests for changes from the local replica of the
// configuration group. A replica that lags gives an older answer; the adopter
// asks the voters in turn, so one replica cannot hold a zone back.
type Voter struct{ Machine *Machine }

// Register makes the voter answer messages of kind link.KindConfig.
func (v *Voter) Register(p link.Peers) { p.Handle(link.KindConfig, v.handle) }

func (v *Voter) handle(_ context.Context, _ string, body []byte) ([]byte, error) {
	var req sinceRequest
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return codec.Marshal(v.since(&req))
}

func (v *Voter) since(req *sinceRequest) *sinceReply {
	reply := &sinceReply{Change: v.Machine.Since(req.Version)}
	if cur := v.Machine.Current(); cur != nil {
		reply.Version = cur.Version
	}
	return reply
}
