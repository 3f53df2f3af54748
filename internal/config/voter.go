package config

import (
	"context"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
)

// Voter answers the zones' requests for changes from the local replica of the
// configuration group. A lagging replica returns stale answers; the adopter starts
// each round with another voter, so one lagging replica cannot hold a zone back.
type Voter struct{ Machine *Machine }

// Register installs the handler for messages of kind link.KindConfig.
func (v *Voter) Register(p link.Peers) { p.Handle(link.KindConfig, v.handle) }

func (v *Voter) handle(_ context.Context, _ string, body []byte) ([]byte, error) {
	var req changeRequest
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return codec.Marshal(v.changeSince(&req))
}

func (v *Voter) changeSince(req *changeRequest) *changeReply {
	reply := &changeReply{Change: v.Machine.ChangeSince(req.Version)}
	if cur := v.Machine.Current(); cur != nil {
		reply.Version = cur.Version
	}
	return reply
}
