package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/user"
	"sort"
	"strings"

	"github.com/google/subcommands"

	"siskinknot/core/settings"
	"siskinknot/io/member"
	"siskinknot/io/operator"
)

// settingsCommand reads and publishes settings.
type settingsCommand struct{}

func (*settingsCommand) Name() string           { return "settings" }
func (*settingsCommand) Synopsis() string       { return "read and publish the settings tree" }
func (*settingsCommand) SetFlags(*flag.FlagSet) {}
func (*settingsCommand) Usage() string {
	return `settings get     [-operator ADDR] [-effective] [-json] [NODE]
settings set     [-operator ADDR] [-base VERSION] [-json] NODE FIELD=VALUE...
settings publish [-operator ADDR] [-base VERSION] [-json] FILE
settings history [-operator ADDR] [-json]
  NODE is "/" (all services), "/SERVICE" or "/SERVICE/PREFIX".
  "set" changes single values of a node; VALUE null restores the
  inherited value. "publish" replaces the whole tree with the one in FILE.
  Exit codes: 3 the edit was refused, 5 its result is not known yet.
`
}

func (c *settingsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set := flag.NewFlagSet("settings", flag.ContinueOnError)
	set.Usage = f.Usage
	top := subcommands.NewCommander(set, "siskinknot settings")
	top.Register(&settingsGet{}, "")
	top.Register(&settingsSet{}, "")
	top.Register(&settingsPublish{}, "")
	top.Register(&settingsHistory{}, "")
	if err := set.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return top.Execute(ctx)
}

// settingsGet prints the settings tree or one of its nodes.
type settingsGet struct {
	operatorFlags
	effective bool
}

func (*settingsGet) Name() string     { return "get" }
func (*settingsGet) Synopsis() string { return "print the tree or a node" }
func (*settingsGet) Usage() string    { return "get [-operator ADDR] [-effective] [-json] [NODE]\n" }

func (c *settingsGet) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.effective, "effective", false, "show each effective value and the node it comes from")
}

func (c *settingsGet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.effective && f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "-effective needs a node")
		return subcommands.ExitUsageError
	}
	return c.run(func(client *operator.Client) error {
		view, err := client.Settings(ctx, f.Arg(0), c.effective)
		if err != nil {
			return err
		}
		return c.print(view, func() { printSettings(view) })
	})
}

// printSettings prints settings as text.
func printSettings(view member.SettingsView) {
	fmt.Println("version", view.Version)
	switch {
	case view.Effective != nil:
		names := make([]string, 0, len(view.Effective))
		for name := range view.Effective {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%-28s %-16s from %s\n", name, view.Effective[name].Value, view.Effective[name].Node)
		}
	case view.Node != nil:
		fmt.Println(string(view.Node))
	default:
		fmt.Println(string(view.Tree))
	}
}

// settingsSet changes values of a node of the settings tree.
type settingsSet struct {
	operatorFlags
	base uint64
}

func (*settingsSet) Name() string     { return "set" }
func (*settingsSet) Synopsis() string { return "change values of a node" }
func (*settingsSet) Usage() string {
	return "set [-operator ADDR] [-base VERSION] [-json] NODE FIELD=VALUE...\n"
}

func (c *settingsSet) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.base, "base", 0, "settings `version` the change is based on; 0 is the current one")
}

func (c *settingsSet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	values, err := parseValues(f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	patch, err := json.Marshal(map[string]any{"values": values})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return c.publish(ctx, settings.Edit{Base: c.base, Node: f.Arg(0), Patch: patch})
}

// parseValues parses arguments of the form FIELD=VALUE. A value that is not valid
// JSON is taken as a string.
func parseValues(args []string) (map[string]json.RawMessage, error) {
	values := map[string]json.RawMessage{}
	for _, arg := range args {
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("argument %q is not FIELD=VALUE", arg)
		}
		if !json.Valid([]byte(text)) {
			quoted, err := json.Marshal(text)
			if err != nil {
				return nil, fmt.Errorf("value of %q: %w", name, err)
			}
			text = string(quoted)
		}
		values[name] = json.RawMessage(text)
	}
	return values, nil
}

// settingsPublish replaces the whole settings tree with the one in a file.
type settingsPublish struct {
	operatorFlags
	base uint64
}

func (*settingsPublish) Name() string     { return "publish" }
func (*settingsPublish) Synopsis() string { return "replace the whole tree with the one in a file" }
func (*settingsPublish) Usage() string {
	return "publish [-operator ADDR] [-base VERSION] [-json] FILE\n"
}

func (c *settingsPublish) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.base, "base", 0, "settings `version` the file is based on; 0 is the current one")
}

func (c *settingsPublish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := settings.Check(data); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	view, err := client.Settings(ctx, "", false)
	if err != nil {
		return fail(err)
	}
	patch, err := settings.Diff(view.Tree, data)
	if err != nil {
		return fail(err)
	}
	base := c.base
	if base == 0 {
		base = view.Version
	}
	return c.publish(ctx, settings.Edit{Base: base, Node: "/", Patch: patch})
}

// publish publishes an edit and prints its result.
func (c *operatorFlags) publish(ctx context.Context, edit settings.Edit) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	edit.ID = member.NewEditID()
	edit.Author = author()
	result, err := client.Publish(ctx, edit)
	if errors.Is(err, operator.ErrPending) {
		fmt.Fprintf(os.Stderr, "edit %s: %v; look for it in \"siskinknot settings history\"\n", edit.ID, err)
		return exitPending
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "edit %s may have been published\n", edit.ID)
		return fail(err)
	}
	if err := c.print(result, func() { printResult(result) }); err != nil {
		return fail(err)
	}
	if !result.Accepted {
		return exitRefused
	}
	return subcommands.ExitSuccess
}

// author returns the name of the user who runs the command.
func author() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// printResult prints the result of an edit as text.
func printResult(result settings.EditResult) {
	if result.Accepted {
		fmt.Printf("%d  accepted  %s  %s by %s: %s\n", result.Offset, result.Edit.ID, result.Edit.Node, result.Edit.Author, result.Edit.Patch)
		return
	}
	fmt.Printf("%d  refused   %s  %s by %s: %s\n", result.Offset, result.Edit.ID, result.Edit.Node, result.Edit.Author, result.Reason)
}

// settingsHistory prints past edits and their results.
type settingsHistory struct {
	operatorFlags
}

func (*settingsHistory) Name() string               { return "history" }
func (*settingsHistory) Synopsis() string           { return "print past edits and their results" }
func (*settingsHistory) Usage() string              { return "history [-operator ADDR] [-json]\n" }
func (c *settingsHistory) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *settingsHistory) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(func(client *operator.Client) error {
		results, err := client.History(ctx)
		if err != nil {
			return err
		}
		return c.print(results, func() {
			for _, result := range results {
				printResult(result)
			}
		})
	})
}
