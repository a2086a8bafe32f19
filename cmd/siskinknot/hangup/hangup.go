// Package hangup makes the program ignore SIGHUP from its start. A daemon that has just been
// restarted may get the signal before its main function runs, and the default is to end.
//
// It imports no package of this project, and its path sorts before theirs: Go initializes it
// before them. A command that handles SIGHUP calls signal.Notify as usual.
//
// # Usage
//
//	import _ "siskinknot/cmd/siskinknot/hangup"
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
