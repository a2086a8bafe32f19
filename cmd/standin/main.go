// Command standin runs the stand-ins that simulate the platform in tests and
// demonstrations, and the demonstrations and measurements themselves. It is not part
// of the router.
//
// Run "standin help" for its commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"siskinknot/standin/demo"
	"siskinknot/standin/logservice"
	"siskinknot/standin/measure"
	"siskinknot/standin/meshdemo"
	"siskinknot/standin/targetserver"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&logCommand{}, "")
	subcommands.Register(&targetCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	subcommands.Register(&measureCommand{}, "")
	subcommands.Register(&plotCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// logCommand runs the stand-in of the platform's log service.
type logCommand struct {
	listen string
}

func (*logCommand) Name() string     { return "log" }
func (*logCommand) Synopsis() string { return "run the stand-in of the platform's log" }
func (*logCommand) Usage() string    { return "log [-listen ADDR]\n" }

func (c *logCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
}

func (c *logCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(c.listen, &http.Server{Handler: logservice.New(), ReadHeaderTimeout: time.Minute})
}

// targetCommand runs the stand-in of a target.
type targetCommand struct {
	listen string
	cfg    targetserver.Config
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "run the stand-in of a target" }
func (*targetCommand) Usage() string    { return "target -name NAME [flags]\n" }

func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.cfg.Name, "name", "target", "name of the target")
	f.IntVar(&c.cfg.Slots, "slots", 12, "maximum number of concurrent requests")
	f.StringVar(&c.cfg.SharedDir, "shared", "", "directory that all targets share; empty for none")
	f.DurationVar(&c.cfg.Lookup, "lookup", time.Millisecond, "duration of a lookup")
	f.DurationVar(&c.cfg.Write, "write", 3*time.Millisecond, "duration of a registration")
	f.DurationVar(&c.cfg.Chunk, "chunk", time.Millisecond, "time to process 64 KiB of a body")
	f.DurationVar(&c.cfg.Connect, "connect", time.Millisecond, "time to accept a new connection")
	f.BoolVar(&c.cfg.IgnoreDeadlines, "ignore_deadlines", false, "complete requests even after their deadline")
	f.BoolVar(&c.cfg.CheckGrants, "check_grants", false, "refuse requests whose grant has expired")
}

func (c *targetCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	srv, err := targetserver.New(c.cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return serve(c.listen, srv.HTTPServer())
}

// demoCommand runs a demonstration of a fleet under a series of faults.
type demoCommand struct {
	bin  string
	mesh bool
	logs string
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a fleet through a series of faults" }
func (*demoCommand) Usage() string    { return "demo [-bin DIR] [-mesh [-logs FILE]]\n" }

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory that contains the programs")
	f.BoolVar(&c.mesh, "mesh", false, "run a fleet on the platform's metadata store")
	f.StringVar(&c.logs, "logs", "", "`file` for the log lines of the daemons")
}

// demoReport is the report of a demonstration.
type demoReport interface {
	// Summary returns the last line to print.
	Summary() string
	// Broken reports whether the fleet violated a guarantee.
	Broken() bool
}

// run runs the demonstration and returns its report.
func (c *demoCommand) run(ctx context.Context) (demoReport, error) {
	if !c.mesh {
		return demo.Run(ctx, c.bin, os.Stdout)
	}
	opts := meshdemo.Options{Bin: c.bin, Out: os.Stdout}
	if c.logs != "" {
		file, err := os.Create(c.logs)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		opts.Logs = file
	}
	return meshdemo.Run(ctx, opts)
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	report, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(report.Summary())
	if report.Broken() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// measureCommand runs the measurements.
type measureCommand struct {
	opts     measure.Options
	sections string
	logs     string
}

func (*measureCommand) Name() string     { return "measure" }
func (*measureCommand) Synopsis() string { return "run the measurements" }
func (*measureCommand) Usage() string {
	return "measure [-bin DIR] [-json FILE] [-only SECTION,...] [-match TEXT] [-rounds N] [-logs FILE]\n"
}

func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Bin, "bin", "bin", "directory that contains the programs")
	f.StringVar(&c.opts.JSON, "json", "", "file to write the report to")
	f.StringVar(&c.sections, "only", "", "comma-separated sections to run; empty for all")
	f.StringVar(&c.opts.Match, "match", "", "run only the cases whose names contain this text")
	f.IntVar(&c.opts.Rounds, "rounds", 3, "repetitions of each measurement")
	f.StringVar(&c.logs, "logs", "", "file to write the daemons' log lines to")
}

func (c *measureCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Out = os.Stdout
	if c.sections != "" {
		c.opts.Sections = strings.Split(c.sections, ",")
	}
	if c.logs != "" {
		logs, err := os.Create(c.logs)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		defer logs.Close()
		c.opts.Logs = logs
	}
	if _, err := measure.Run(ctx, c.opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// plotCommand draws the plots that the documentation shows.
type plotCommand struct {
	// json is the report to read, and dir the directory to write to.
	json, dir string
}

func (*plotCommand) Name() string     { return "plot" }
func (*plotCommand) Synopsis() string { return "draw the plots of a measurement report" }
func (*plotCommand) Usage() string    { return "plot [-json FILE] [-dir DIR]\n" }

func (c *plotCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.json, "json", "docs/measure.json", "measurement report to read")
	f.StringVar(&c.dir, "dir", "docs", "directory to write to")
}

func (c *plotCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	report, err := measure.ReadReport(c.json)
	if err == nil {
		err = report.Plot(c.dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve listens at addr, prints the address, and serves until the server fails.
func serve(addr string, server *http.Server) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("listening", listener.Addr())
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	return subcommands.ExitFailure
}
