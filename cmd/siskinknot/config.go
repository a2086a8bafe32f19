package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"siskinknot/core/settings"
	"siskinknot/io/config"
	"siskinknot/io/peer"
)

// configCommand checks configuration and settings files.
type configCommand struct{}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "check a configuration or settings file" }
func (*configCommand) Usage() string {
	return `config check FILE            checks a daemon's configuration
config check-settings FILE   checks a settings tree
  Prints each problem with its field, the value, and what is expected.
  Exit code 6 if there is one.
`
}

func (*configCommand) SetFlags(*flag.FlagSet) {}

func (*configCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	var err error
	switch f.Arg(0) {
	case "check":
		_, err = config.Load(f.Arg(1))
	case "check-settings":
		err = checkSettings(f.Arg(1))
	default:
		f.Usage()
		return subcommands.ExitUsageError
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	fmt.Println("valid")
	return subcommands.ExitSuccess
}

// checkSettings checks the settings tree in the file at path.
func checkSettings(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return settings.Check(data)
}

// versionCommand prints the versions of the program and of the protocol that the
// daemons use among themselves.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Printf("siskinknot %s, inner protocol %d\n", version, peer.Version)
	return subcommands.ExitSuccess
}
