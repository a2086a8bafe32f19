package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

const (
	// leavesAfter is when a client leaves: within half the objective of 2 s.
	leavesAfter = 100 * time.Millisecond
	// leaverShare is the share of the clients that leave.
	leaverShare = 0.2
	// aFew is how many requests may reach a server over half a second after the close.
	aFew = 5
)

// gone sends uploads in chunks, in three bursts. A fifth of the clients leave after 100 ms: they
// close their connections, without an answer.
func gone(start func() (*fleet, error), trouble bool) ([]string, error) {
	f, err := start()
	if err != nil {
		return nil, err
	}
	f.slots, f.work = 9, 470*time.Millisecond
	lookup := routeSpec{"lookup", "/lookup/", "safe", "registry", 3000, 1200, 2, 2}
	upload := routeSpec{"upload", "/upload/", "upload", "archive", 6000, 2000, 1, 2}
	f.publish(lookup, upload)
	for _, service := range []string{"registry", "registry", "archive", "archive"} {
		if _, err := f.add(service); err != nil {
			return nil, err
		}
	}
	if err := f.waitServing(20 * time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	answers := map[int]int{}
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		perSecond := 34.0 // nine tenths of what the servers can do
		if int(time.Since(begin).Seconds())%10 >= 5 {
			perSecond *= 1.7
		}
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		m := f.machines[rand.Intn(len(f.machines))]
		leaves := trouble && rand.Float64() < leaverShare
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("upload-%d", i)
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, f.ports["outbound"]), time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			body := strings.Repeat("x", 20000)
			_, _ = io.WriteString(conn, fmt.Sprintf("POST /upload/thing HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", f.host, id, len(body), body))
			f.rec.trace("client at %s: sends %s", m.name, id)
			if leaves {
				_ = conn.SetReadDeadline(time.Now().Add(leavesAfter))
				if _, err := conn.Read(make([]byte, 1)); err == nil {
					return // answered before
				}
				mu.Lock()
				closedAt[id] = time.Now()
				mu.Unlock()
				f.rec.trace("client at %s: %s has no answer; closes its connection", m.name, id)
				return
			}
			_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
			status := 0
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				status = resp.StatusCode
			}
			f.rec.trace("client at %s: %s status %d", m.name, id, status)
			mu.Lock()
			answers[status]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	f.hist.mu.Lock()
	runs := slices.Clone(f.hist.runs)
	f.hist.mu.Unlock()
	late, all := 0, 0
	var latest time.Duration
	for _, r := range runs {
		if at, left := closedAt[r.id]; left && r.at.After(at) {
			all++
			if after := r.at.Sub(at); after > 500*time.Millisecond {
				late++
				latest = max(latest, after)
			}
		}
	}
	f.rec.log("answers by status %v; %d clients left; after that the requests of %d were run, of %d over half a second after the close, at most %d ms", answers, len(closedAt), all, late, latest.Milliseconds())
	if late > aFew {
		return []string{fmt.Sprintf("GONE: %d requests reached a server over half a second after their clients had closed their connections", late)}, nil
	}
	return nil, nil
}
