package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used at most.
type Usage struct {
	// MemoryBytes is resident memory and what has arrived on the process's connections and is
	// not yet read, both at the same time.
	MemoryBytes int
	// Files is the number of open file descriptors.
	Files int
}

// sampleInterval is short against the time in which a crowd fills a server's memory.
const sampleInterval = 10 * time.Millisecond

// Watch samples the usage of a process until stop is closed, and then returns the highest. The
// process listens on the given IP, which no other process uses.
func Watch(pid int, ip string, stop <-chan struct{}) Usage {
	var most Usage
	for {
		rss, peak := residentBytes(pid)
		most.MemoryBytes = max(most.MemoryBytes, rss+unreadBytes(pid, ip), peak)
		most.Files = max(most.Files, openFiles(pid))
		select {
		case <-stop:
			return most
		case <-time.After(sampleInterval):
		}
	}
}

// residentBytes returns the resident memory of a process now and its highest value so far, or 0
// if the process has ended.
func residentBytes(pid int) (now, peak int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	return now, peak
}

// unreadBytes returns the bytes in the receive queues of the connections whose local address
// has the given IP.
func unreadBytes(pid int, ip string) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	local := hexAddress(ip)
	total := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local+":") || fields[3] == listening {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		total += int(n)
	}
	return total
}

// listening is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const listening = "0A"

// hexAddress returns an IPv4 address as /proc/net/tcp has it: its bytes in reverse order.
func hexAddress(ip string) string {
	var b [4]byte
	_, _ = fmt.Sscanf(ip, "%d.%d.%d.%d", &b[0], &b[1], &b[2], &b[3])
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}

func openFiles(pid int) int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(names)
}
