// Command harness plays the cases of the review that are scripts: small fleets of the
// project's daemons on loopback addresses, with stand-ins for the store, the servers and the
// clients. It uses the standard library alone.
//
//	harness CASE FOLDER
//
// It runs in the repository's root and writes record.txt in FOLDER. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is
// left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 117 * time.Second

// cases has the function of each case. It returns what was broken, or nothing.
var cases = map[string]func(start func() (*fleet, error), trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	var mu sync.Mutex
	var fleets []*fleet
	closeAll := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range fleets {
			f.close()
		}
	}
	defer closeAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		rec.log("could not run: interrupted or too slow")
		closeAll()
		os.Exit(2)
	}()
	broken, err := cases[name](func() (*fleet, error) {
		f, err := newFleet(root, rec)
		mu.Lock()
		defer mu.Unlock()
		if f != nil {
			fleets = append(fleets, f)
		}
		return f, err
	}, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("could not run: %v", err)
		return 2
	}
	for _, b := range broken {
		rec.log("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.log("the rule held")
	return 0
}
