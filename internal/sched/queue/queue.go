// Package queue orders waiting jobs: within a customer urgent jobs first, then
// by submission; between customers by the share of accelerators in use per
// weight (weighted max-min fairness).
package queue

import (
	"container/heap"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// Less is the order of jobs within a customer, and of all jobs where fairness
// between customers plays no part.
func Less(a, b *sched.Waiting) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	if a.Seq != b.Seq {
		return a.Seq < b.Seq
	}
	return a.ID < b.ID
}

// Compare is Less as a comparison.
func Compare(a, b *sched.Waiting) int {
	switch {
	case Less(a, b):
		return -1
	case Less(b, a):
		return 1
	}
	return 0
}

// Customer is the queue of one customer during a decision.
type Customer struct {
	Name   string
	Weight int
	Quota  int // 0 is no limit
	// Used is the number of accelerators in use, Shared those of them outside
	// the guarantees.
	Used, Shared int
	Jobs         []*sched.Waiting
	next         int
}

// Next returns the next job that was not looked at, or nil.
func (c *Customer) Next() *sched.Waiting {
	if c.next >= len(c.Jobs) {
		return nil
	}
	return c.Jobs[c.next]
}

// Pass moves on to the next job.
func (c *Customer) Pass() { c.next++ }

// Rewind starts at the first job again.
func (c *Customer) Rewind() { c.next = 0 }

// Insert puts a job at its place in the order.
func (c *Customer) Insert(w *sched.Waiting) {
	i, _ := slices.BinarySearchFunc(c.Jobs, w, Compare)
	c.Jobs = slices.Insert(c.Jobs, i, w)
}

// Remove takes a job out.
func (c *Customer) Remove(w *sched.Waiting) {
	if i, ok := slices.BinarySearchFunc(c.Jobs, w, Compare); ok {
		c.Jobs = slices.Delete(c.Jobs, i, i+1)
	}
}

// OverQuota reports whether n more accelerators exceed the customer's quota.
func (c *Customer) OverQuota(n int) bool { return c.Quota > 0 && n > 0 && c.Used+n > c.Quota }

// Fair is a heap of customers; the one with the least use per weight is first.
type Fair []*Customer

// NewFair returns the customers that have jobs left.
func NewFair(cs []*Customer) *Fair {
	var f Fair
	for _, c := range cs {
		if c.Next() != nil {
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
// without jobs leaves.
func (f *Fair) Fix() {
	if (*f)[0].Next() == nil {
		heap.Pop(f)
		return
	}
	heap.Fix(f, 0)
}

// Leave takes the first customer out.
func (f *Fair) Leave() { heap.Pop(f) }

func (f Fair) Len() int { return len(f) }

func (f Fair) Less(i, j int) bool {
	a, b := f[i], f[j]
	// a.Shared/a.Weight < b.Shared/b.Weight without division.
	x, y := a.Shared*max(b.Weight, 1), b.Shared*max(a.Weight, 1)
	if x != y {
		return x < y
	}
	if an, bn := a.Next(), b.Next(); an != nil && bn != nil && an.Seq != bn.Seq {
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
