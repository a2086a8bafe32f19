// Command siskinknot is a router for servers that own keys exclusively.
//
// Run "siskinknot help" for its commands.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	_ "siskinknot/cmd/siskinknot/hangup" // first, so that no signal ends the program before main
)

// Exit codes in addition to those of package subcommands (0 success, 1 failure,
// 2 wrong usage).
const (
	exitRefused     subcommands.ExitStatus = 3 // the edit was refused
	exitUnreachable subcommands.ExitStatus = 4 // the daemon does not answer
	exitPending     subcommands.ExitStatus = 5 // the result of the edit is not known yet
	exitInvalid     subcommands.ExitStatus = 6 // the file is not valid
)

func main() {
	// The runtime would end the process at a write to a standard output without a reader.
	signal.Ignore(syscall.SIGPIPE)
	top := subcommands.NewCommander(flag.CommandLine, "siskinknot")
	top.Register(top.HelpCommand(), "help")
	top.Register(top.FlagsCommand(), "help")
	top.Register(&daemonCommand{}, "")
	top.Register(&meshCommand{}, "")
	top.Register(&configCommand{}, "")
	top.Register(&settingsCommand{}, "operating")
	top.Register(&statusCommand{}, "operating")
	top.Register(&explainCommand{}, "operating")
	top.Register(&versionCommand{}, "help")
	flag.Parse()
	os.Exit(int(top.Execute(context.Background())))
}
