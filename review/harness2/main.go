// Command harness2 plays the scripts of the review's cases 6 to 10. Its argument names the case;
// run.sh of the case's folder calls it in the root of the repository.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenario plays a case. trouble is false if the disruption is left out. It returns how the rule
// was broken.
type scenario func(rec *recorder, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"cut-at-stop": cutAtStop,
	"lost-relay":  lostRelay,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		return 2
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	time.AfterFunc(118*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(2) // the daemons end with this process
	})
	broken, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		rec.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
