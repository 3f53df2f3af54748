package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// echoServer starts a server that echoes what it receives, and returns its address.
func echoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

func roundTrip(c net.Conn, limit time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against faults that the proxy does not inject: proofs that rely on them would
// pass without a fault.
func TestFaults(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	is := is.New(t)
	p, err := New(echoServer(t))
	is.NoErr(err)
	defer p.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	const short = 200 * time.Millisecond
	old := dial()
	is.NoErr(roundTrip(old, time.Second))
	p.BlackholeOpen(FromTarget)
	is.True(roundTrip(old, short) != nil)      // an open connection is silent
	is.NoErr(roundTrip(dial(), time.Second))   // a new one works
	p.BlackholeAll(ToTarget)                   //
	is.True(roundTrip(dial(), short) != nil)   // new ones are silent as well
	p.Heal()                                   //
	is.NoErr(roundTrip(dial(), time.Second))   // no fault is left
	p.Delay(ToTarget, short)                   //
	start := time.Now()                        //
	is.NoErr(roundTrip(dial(), 5*time.Second)) //
	is.True(time.Since(start) >= short)        // bytes were delayed
	p.Refuse(true)                             //
	// The reset may arrive before the dial returns.
	refused, err := net.Dial("tcp", p.Addr())
	if err == nil {
		t.Cleanup(func() { _ = refused.Close() })
		err = roundTrip(refused, time.Second)
	}
	is.True(err != nil) // reset
	p.Heal()
	c := dial()
	is.NoErr(roundTrip(c, time.Second))
	p.Cut()
	is.True(roundTrip(c, time.Second) != nil) // closed
}
