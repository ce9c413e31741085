package link

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a TCP server that returns the data it receives.
func startEchoServer(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return l
}

// The delay applies once per direction, and a partition stops data without
// closing connections. Tests of network partitions depend on both.
func TestDelayAndPartition(t *testing.T) {
	k, err := Start("", startEchoServer(t).Addr().String(), 20*time.Millisecond)
	assert.NilError(t, err)
	defer k.Close()
	c, err := net.Dial("tcp", k.Addr())
	assert.NilError(t, err)
	defer c.Close()
	ping := func() (time.Duration, error) {
		begin := time.Now()
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = io.ReadFull(c, make([]byte, 1))
		return time.Since(begin), err
	}
	ping() // warm-up: the first round trip also includes connection setup
	d, err := ping()
	assert.NilError(t, err)
	assert.Assert(t, d >= 40*time.Millisecond && d < 150*time.Millisecond, "round trip %s", d)
	k.SetPartitioned(true)
	_, err = ping()
	assert.ErrorContains(t, err, "timeout")
	k.SetPartitioned(false)
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.ErrorContains(t, err, "timeout", "the read deadline has already expired")
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err, "data sent during the partition must arrive after it ends")
	k.Reset()
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}
