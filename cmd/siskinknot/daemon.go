package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"siskinknot/io/config"
	"siskinknot/io/daemon"
)

// daemonCommand runs a daemon that keeps the fleet's state in the platform's log.
type daemonCommand struct {
	config string
	json   bool
}

func (*daemonCommand) Name() string     { return "daemon" }
func (*daemonCommand) Synopsis() string { return "run the daemon beside a target" }
func (*daemonCommand) Usage() string {
	return `daemon -config FILE [-json]
  Runs until it receives SIGTERM or SIGINT, and then leaves the fleet gracefully.
  A second signal stops it immediately.
`
}

func (c *daemonCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "configuration `file`")
	f.BoolVar(&c.json, "json", false, "write log lines as JSON")
}

func (c *daemonCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := config.Load(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "siskinknot",
		Level:      hclog.LevelFromString(cfg.LogLevel),
		JSONFormat: c.json,
	})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.New(ctx, cfg, log)
	if err != nil {
		log.Error("daemon did not start", "error", err)
		return subcommands.ExitFailure
	}
	select {
	case <-d.Failed():
		log.Error("daemon stopped because of a broken invariant")
		return subcommands.ExitFailure
	case <-signals:
	}
	stopCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if !d.Stop(stopCtx) {
		log.Warn("stopped before all requests had finished")
		return subcommands.ExitFailure
	}
	log.Info("stopped")
	return subcommands.ExitSuccess
}
