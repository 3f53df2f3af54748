// Package queue orders waiting jobs: within a customer urgent jobs first, then
// by submission; between customers by their use outside the guarantees per
// weight (weighted max-min fairness).
package queue

import (
	"container/heap"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// Less reports whether job a comes before job b. This is the order within a
// customer, and of all jobs where fairness between customers does not apply.
func Less(a, b *sched.Waiting) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	if a.Seq != b.Seq {
		return a.Seq < b.Seq
	}
	return a.ID < b.ID
}

// Compare compares two jobs by the order of Less.
func Compare(a, b *sched.Waiting) int {
	switch {
	case Less(a, b):
		return -1
	case Less(b, a):
		return 1
	}
	return 0
}

// Customer is the queue of one customer. During a decision it also has a cursor
// to the next job to consider.
type Customer struct {
	Name   string
	Weight int
	Quota  int // 0 means no limit
	// Used is the number of accelerators in use. BorrowedUnits counts the jobs
	// outside the guarantees in the units of fair sharing: their accelerators,
	// and at least one per task.
	Used, BorrowedUnits int
	Jobs                []*sched.Waiting
	next                int
}

// Peek returns the job at the cursor, or nil after the last one.
func (c *Customer) Peek() *sched.Waiting {
	if c.next >= len(c.Jobs) {
		return nil
	}
	return c.Jobs[c.next]
}

// Advance moves the cursor to the next job.
func (c *Customer) Advance() { c.next++ }

// Rewind moves the cursor to the first job.
func (c *Customer) Rewind() { c.next = 0 }

// Insert adds a job at its position in the order.
func (c *Customer) Insert(w *sched.Waiting) {
	i, _ := slices.BinarySearchFunc(c.Jobs, w, Compare)
	c.Jobs = slices.Insert(c.Jobs, i, w)
}

// Remove removes a job.
func (c *Customer) Remove(w *sched.Waiting) {
	if i, ok := slices.BinarySearchFunc(c.Jobs, w, Compare); ok {
		c.Jobs = slices.Delete(c.Jobs, i, i+1)
	}
}

// OverQuota reports whether n more accelerators exceed the customer's quota.
func (c *Customer) OverQuota(n int) bool { return c.Quota > 0 && n > 0 && c.Used+n > c.Quota }

// Fair is a heap of customers; the one with the fewest BorrowedUnits per weight
// is first.
type Fair []*Customer

// NewFair returns a heap of those customers that have jobs left.
func NewFair(cs []*Customer) *Fair {
	var f Fair
	for _, c := range cs {
		if c.Peek() != nil {
			f = append(f, c)
		}
	}
	heap.Init(&f)
	return &f
}

// First returns the customer whose turn it is, or nil.
func (f Fair) First() *Customer {
	if len(f) == 0 {
		return nil
	}
	return f[0]
}

// Fix restores the order after the first customer has changed; a customer
// without further jobs is removed.
func (f *Fair) Fix() {
	if (*f)[0].Peek() == nil {
		heap.Pop(f)
		return
	}
	heap.Fix(f, 0)
}

// RemoveFirst removes the first customer.
func (f *Fair) RemoveFirst() { heap.Pop(f) }

func (f Fair) Len() int { return len(f) }

func (f Fair) Less(i, j int) bool {
	a, b := f[i], f[j]
	// a.BorrowedUnits/a.Weight < b.BorrowedUnits/b.Weight without division.
	x, y := a.BorrowedUnits*max(b.Weight, 1), b.BorrowedUnits*max(a.Weight, 1)
	if x != y {
		return x < y
	}
	if an, bn := a.Peek(), b.Peek(); an != nil && bn != nil && an.Seq != bn.Seq {
		return an.Seq < bn.Seq
	}
	return a.Name < b.Name
}

func (f Fair) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push is part of heap.Interface.
func (f *Fair) Push(x any) { *f = append(*f, x.(*Customer)) }

// Pop is part of heap.Interface.
func (f *Fair) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}
