package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"siskinknot/io/logreader"
	"siskinknot/io/member"
	"siskinknot/io/operator"
)

// defaultOperator is the operator address that the documentation recommends.
const defaultOperator = "127.0.0.1:7402"

// operatorFlags holds the flags of the commands that query the operator interface of
// a daemon.
type operatorFlags struct {
	operator string
	json     bool
}

func (o *operatorFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.operator, "operator", defaultOperator, "operator `address` of a daemon")
	f.BoolVar(&o.json, "json", false, "print JSON")
}

// client returns a client of the operator interface.
func (o *operatorFlags) client() (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(o.operator)
	if err != nil {
		return nil, fmt.Errorf("operator address %q: %w", o.operator, err)
	}
	return operator.NewClient(addr), nil
}

// run calls query with a client, prints its error if there is one, and returns the
// exit code.
func (o *operatorFlags) run(query func(*operator.Client) error) subcommands.ExitStatus {
	client, err := o.client()
	if err == nil {
		err = query(client)
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// fail prints err and returns the exit code for it: 1 if the daemon answered with
// an error status, 4 otherwise.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	var statusErr *operator.StatusError
	if errors.As(err, &statusErr) {
		return subcommands.ExitFailure
	}
	return exitUnreachable
}

// print prints v as JSON if the flag -json is set; otherwise it calls printText.
func (o *operatorFlags) print(v any, printText func()) error {
	if !o.json {
		printText()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// statusCommand prints the state of the fleet as one daemon knows it.
type statusCommand struct {
	operatorFlags
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the fleet as a daemon sees it" }
func (*statusCommand) Usage() string {
	return `status [-operator ADDR] [-json]
  Shows the members, their leases, guardians, slots and settings versions, and
  how far the daemon has read the log. Exit code 4 if it does not answer.
`
}
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(func(client *operator.Client) error {
		st, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return c.print(st, func() { printStatus(st) })
	})
}

// printStatus prints a status as text.
func printStatus(st member.FleetStatus) {
	fmt.Printf("daemon %s  lease held: %v  target: %s\n", st.Incarnation, st.Holds, st.Target)
	fmt.Printf("log answers: %v  next offset %d  head read %d ms ago  snapshot at %d\n",
		st.LogOK, st.NextOffset, st.HeadReadAgoMs, st.SnapshotOffset)
	fmt.Printf("settings version %d\n", st.SettingsVersion)
	for _, id := range st.HeirOf {
		fmt.Printf("serves as heir of %s until the log is back\n", id)
	}
	for _, svc := range st.Services {
		fmt.Printf("service %s: %d slots, %d without owner, %d keys on their own, planned by %s\n",
			svc.Name, svc.Slots, svc.Unowned, len(svc.CarvedKeys), svc.Planner)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "MEMBER\tSERVICE\tZONE\tSLOTS\tLEASE\tSETTINGS\tLOG\tGUARDIANS\tSTATE")
	for _, m := range st.Members {
		lease, version, next := "?", "?", "?"
		if m.Reached {
			lease = map[bool]string{true: "held", false: "none"}[m.Holds]
			version = fmt.Sprint(m.SettingsVersion)
			next = fmt.Sprint(m.NextOffset)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s %s\t%s\n", m.ID, m.Service, m.Zone, m.Slots,
			lease, version, next, m.Guardians[0], m.Guardians[1], memberState(m))
	}
	_ = w.Flush()
}

// memberState returns the STATE column of a member.
func memberState(m member.Status) string {
	switch {
	case m.Succeeded:
		return "succeeded"
	case m.Accused != 0:
		return "accused"
	case m.Leaving:
		return "leaving"
	case !m.Reached:
		return "does not answer"
	default:
		return "ok"
	}
}

// explainCommand prints which member owns a key, or the log lines about a request.
type explainCommand struct {
	operatorFlags
	service string
	request string
	around  time.Duration
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "show who owns a key, or the log lines about a request"
}

func (*explainCommand) Usage() string {
	return `explain [-operator ADDR] [-json] -service NAME KEY
  Says who owns KEY, since which record of the log, and which records led there.
explain -request ID [-around 2s] FILE...
  Prints the lines about the request ID from the log files of several daemons, in
  order of time, and what these daemons logged about themselves shortly before.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.service, "service", "", "`name` of the service")
	f.StringVar(&c.request, "request", "", "`id` of a request to look for in log files")
	f.DurationVar(&c.around, "around", 2*time.Second, "`time` before the request's first line to show")
}

// explainRequest prints the lines about a request in log files.
func (c *explainCommand) explainRequest(files []string) subcommands.ExitStatus {
	logs := make([]io.Reader, 0, len(files))
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	path, err := logreader.Find(c.request, c.around, logs...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	path.Print(os.Stdout)
	return subcommands.ExitSuccess
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.request != "" && f.NArg() > 0 {
		return c.explainRequest(f.Args())
	}
	if f.NArg() != 1 || c.service == "" {
		f.Usage()
		return subcommands.ExitUsageError
	}
	return c.run(func(client *operator.Client) error {
		ex, err := client.Explain(ctx, c.service, f.Arg(0))
		if err != nil {
			return err
		}
		return c.print(ex, func() { printExplanation(ex) })
	})
}

// printExplanation prints an explanation as text.
func printExplanation(ex member.Explanation) {
	unit := fmt.Sprintf("slot %d", ex.Slot)
	if ex.Carved {
		unit = "a unit of its own"
	}
	if ex.Owner == "" {
		fmt.Printf("%s/%s (%s) has no owner\n", ex.Service, ex.Key, unit)
	} else {
		fmt.Printf("%s/%s (%s) is owned by %s since offset %d, by %s\n", ex.Service, ex.Key, unit, ex.Owner, ex.OwnerSince, ex.Cause)
	}
	if ex.Leaving {
		fmt.Println("the owner is leaving and passes on its keys")
	}
	for _, e := range ex.Records {
		fmt.Printf("%8d  %-10s %s\n", e.Offset, e.Kind, e.Text)
		if e.Ignored != "" {
			fmt.Printf("%8s  %-10s ignored: %s\n", "", "", e.Ignored)
		}
	}
}
