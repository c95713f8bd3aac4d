// Package cmd holds the subcommands of coltsfootdock, one a file.
//
// Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 an edit
// lost a race, 4 a change is stored but not in force everywhere yet, 5 a
// daemon or the platform can't be reached.
package cmd

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/setup"
	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitWaiting     = 4
	exitUnreachable = 5
)

// errWaiting ends a command whose change is not in force everywhere.
var errWaiting = errors.New("the change is stored but not in force on every daemon yet")

// usageError is an error in the arguments.
type usageError string

func (e usageError) Error() string { return string(e) }

// app is what the subcommands share.
type app struct {
	out, err io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	fs := flag.NewFlagSet("coltsfootdock", flag.ContinueOnError)
	fs.SetOutput(errOut)
	root := &ffcli.Command{
		ShortUsage: "coltsfootdock <subcommand> [flags]",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			a.serve(), a.entry(), a.check(), a.print(), a.version(),
			a.route(), a.pool(), a.target(), a.vm(), a.dataCentre(), a.apply(), a.status(), a.explain(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.Parse(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(errOut, "coltsfootdock:", err)
		}
		return exitUsage
	}
	err := root.Run(ctx)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, "coltsfootdock:", text(err))
	}
	return code(err)
}

func text(err error) string {
	var x *errorx.Error
	if errors.As(err, &x) {
		return x.Message()
	}
	return err.Error()
}

func code(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage),
		errorx.IsOfType(err, setup.Invalid), errorx.IsOfType(err, schema.Invalid):
		return exitUsage
	case errorx.IsOfType(err, client.Conflict):
		return exitConflict
	case errors.Is(err, errWaiting):
		return exitWaiting
	case errorx.IsOfType(err, client.Unavailable):
		return exitUnreachable
	}
	return exitFailure
}

// remote holds the flags of commands that call a daemon.
type remote struct {
	*app
	fs        *flag.FlagSet
	daemons   *string
	tokenFile *string
	authority *string
	json      *bool
	dryRun    *bool
	expect    *int64
}

// remoteFlags adds the common flags to a command's set. They may also be set
// by COLTSFOOTDOCK_* variables.
func (a *app) remoteFlags(name string) *remote {
	fs := flag.NewFlagSet("coltsfootdock "+name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	return &remote{
		app:       a,
		fs:        fs,
		daemons:   fs.String("daemons", "http://127.0.0.1:7100", "base URLs of daemons, separated by commas"),
		tokenFile: fs.String("token-file", "", "file that holds the team's token"),
		authority: fs.String("authority", "", "PEM file of the authority of the daemons' certificates"),
		json:      fs.Bool("json", false, "print JSON"),
		dryRun:    fs.Bool("dry-run", false, "check the change without making it"),
		expect:    fs.Int64("expect", -1, "make the change only if the object has this version; 0 means it must not exist"),
	}
}

var envPrefix = []ff.Option{ff.WithEnvVarPrefix("COLTSFOOTDOCK")}

func (r *remote) client() (*client.Client, error) {
	var opts []client.Option
	if *r.tokenFile != "" {
		data, err := os.ReadFile(*r.tokenFile)
		if err != nil {
			return nil, usageError(fmt.Sprintf("--token-file %q can't be read", *r.tokenFile))
		}
		opts = append(opts, client.WithToken(strings.TrimSpace(string(data))))
	}
	if *r.authority != "" {
		pem, err := os.ReadFile(*r.authority)
		pool := x509.NewCertPool()
		if err != nil || !pool.AppendCertsFromPEM(pem) {
			return nil, usageError(fmt.Sprintf("--authority %q holds no certificate", *r.authority))
		}
		opts = append(opts, client.WithHTTPClient(&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}))
	}
	return client.New(strings.Split(*r.daemons, ","), opts...), nil
}

func (r *remote) edit() client.Edit {
	e := client.Edit{DryRun: *r.dryRun}
	if *r.expect >= 0 {
		e.Strict, e.Expect = true, schema.Version(*r.expect)
	}
	return e
}

// show prints a value as JSON, or calls plain.
func (r *remote) show(v any, plain func()) {
	if !*r.json {
		plain()
		return
	}
	enc := json.NewEncoder(r.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // values of the API encode
}

// changed prints the outcome of an edit.
func (r *remote) changed(what string, c schema.Change, err error) error {
	if err != nil {
		return err
	}
	r.show(c, func() {
		for _, w := range c.Warnings {
			fmt.Fprintln(r.out, "warning:", w)
		}
		switch {
		case c.DryRun:
			fmt.Fprintf(r.out, "%s: would be changed from version %d\n", what, c.Version)
		case len(c.Waiting) == 0:
			fmt.Fprintf(r.out, "%s: version %d, in force on all %d daemons\n", what, c.Version, len(c.InForce))
		default:
			fmt.Fprintf(r.out, "%s: version %d, stored; in force on %d daemons, waits for %v\n", what, c.Version, len(c.InForce), c.Waiting)
		}
	})
	if c.Stored && len(c.Waiting) > 0 {
		return errWaiting
	}
	return nil
}

const (
	progressSteps = 20
	progressWait  = 500 * time.Millisecond
)

// progress repeats an edit under one operation id until it is in force on all
// live daemons, and prints how far it has come. The API recognises the id, so
// the edit is made once.
func (r *remote) progress(put func(client.Edit) (schema.Change, error)) (schema.Change, error) {
	e := r.edit()
	e.Operation = schema.OperationID("op-" + rand.Text())
	e.Wait = progressWait
	var c schema.Change
	for range progressSteps {
		var err error
		c, err = put(e)
		if err != nil || !c.Stored || len(c.Waiting) == 0 {
			return c, err
		}
		if !*r.json {
			fmt.Fprintf(r.out, "version %d: in force on %d of %d daemons\n", c.Version, len(c.InForce), len(c.InForce)+len(c.Waiting))
		}
	}
	return c, nil
}

// oneName returns the only argument of a command.
func oneName(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usageError(fmt.Sprintf("name one %s", what))
	}
	return args[0], nil
}

// group is a command that only holds others.
func (a *app) group(name, help string, subs ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet("coltsfootdock "+name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "coltsfootdock " + name + " <subcommand> [flags]",
		ShortHelp:   help,
		FlagSet:     fs,
		Subcommands: subs,
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// remoteCommand is a command that calls a daemon.
func (r *remote) command(name, usage, help string, exec func(context.Context, *client.Client, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "coltsfootdock " + usage,
		ShortHelp:  help,
		FlagSet:    r.fs,
		Options:    envPrefix,
		Exec: func(ctx context.Context, args []string) error {
			c, err := r.client()
			if err != nil {
				return err
			}
			return exec(ctx, c, args)
		},
	}
}
