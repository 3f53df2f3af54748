package replica

import (
	"context"
	"sync"
)

// Local is a group with one member and no disk. It serves tests and
// deployments with one instance.
type Local struct {
	mu      sync.Mutex // guards calls of machine.Apply and next
	machine StateMachine
	next    uint64
	name    string
}

// NewLocal returns a group whose only member is the named instance.
func NewLocal(name string, sm StateMachine) *Local { return &Local{machine: sm, next: 1, name: name} }

// Propose applies the entry at once.
func (l *Local) Propose(ctx context.Context, entry []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.next
	l.next++
	return l.machine.Apply(i, entry), nil
}

// ReadIndex returns at once: there is no other member.
func (l *Local) ReadIndex(context.Context) error { return nil }

// WaitDurable returns at once.
func (l *Local) WaitDurable(context.Context) error { return nil }

// Transfer does nothing: there is no other member.
func (l *Local) Transfer(context.Context) error { return nil }

// Status reports this member as leader of term 1.
func (l *Local) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Leader: l.name, Leads: true, Term: 1, Applied: l.next - 1, Ready: true, Durable: true,
		Members: []Member{{Instance: l.name, Voter: true}},
	}
}

// Stop does nothing.
func (l *Local) Stop() {}
