// Package cmd implements the subcommands of coltsfootdock.
//
// Exit codes:
//
//	0  success
//	1  failure
//	2  invalid arguments or settings
//	3  the object of an edit has another version than expected
//	4  a change is stored but not yet in force on every daemon
//	5  no daemon responds, or the platform is unavailable
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

// errWaiting is returned by commands whose change is not yet in force on every
// daemon.
var errWaiting = errors.New("the change is stored but not yet in force on every daemon")

// usageError is an error in the arguments or in a file that they name.
type usageError string

func (e usageError) Error() string { return string(e) }

// app holds the output streams of the subcommands.
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
			a.serveCommand(), a.entryCommand(), a.checkCommand(), a.printCommand(), a.versionCommand(),
			a.routeCommand(), a.poolCommand(), a.targetCommand(), a.vmCommand(), a.dataCentreCommand(),
			a.applyCommand(), a.statusCommand(), a.explainCommand(),
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
		fmt.Fprintln(errOut, "coltsfootdock:", errorMessage(err))
	}
	return exitCode(err)
}

// errorMessage returns an error's message without its type and cause.
func errorMessage(err error) string {
	var x *errorx.Error
	if errors.As(err, &x) {
		return x.Message()
	}
	return err.Error()
}

func exitCode(err error) int {
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

// remote holds the flags of commands that call the administration API of a
// daemon.
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

// remoteFlags returns a flag set with the flags that all remote commands share.
// They can also be set by COLTSFOOTDOCK_* environment variables.
func (a *app) remoteFlags(name string) *remote {
	fs := flag.NewFlagSet("coltsfootdock "+name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	return &remote{
		app:       a,
		fs:        fs,
		daemons:   fs.String("daemons", "http://127.0.0.1:7100", "comma-separated base URLs of daemons"),
		tokenFile: fs.String("token-file", "", "file with the team's token"),
		authority: fs.String("authority", "", "PEM file with the certificate authority of the daemons' certificates"),
		json:      fs.Bool("json", false, "print JSON"),
		dryRun:    fs.Bool("dry-run", false, "validate the change without storing it"),
		expect:    fs.Int64("expect", -1, "store the change only if the object has this version; 0 means that it must not exist"),
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

func (r *remote) editOptions() client.Edit {
	e := client.Edit{DryRun: *r.dryRun}
	if *r.expect >= 0 {
		e.Strict, e.Expect = true, schema.Version(*r.expect)
	}
	return e
}

// printValue prints a value as JSON if --json is set, and else calls printText.
func (r *remote) printValue(v any, printText func()) {
	if !*r.json {
		printText()
		return
	}
	enc := json.NewEncoder(r.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // the API's types always encode
}

// printChange prints the outcome of an edit of an object. It returns errWaiting if the edit is not yet in force on every daemon.
func (r *remote) printChange(object string, c schema.Change, err error) error {
	if err != nil {
		return err
	}
	r.printValue(c, func() {
		for _, w := range c.Warnings {
			fmt.Fprintln(r.out, "warning:", w)
		}
		switch {
		case c.DryRun:
			fmt.Fprintf(r.out, "%s: would be changed from version %d\n", object, c.Version)
		case len(c.Waiting) == 0:
			fmt.Fprintf(r.out, "%s: version %d, in force on all %d daemons\n", object, c.Version, len(c.InForce))
		default:
			fmt.Fprintf(r.out, "%s: version %d, stored; in force on %d daemons, waits for %v\n", object, c.Version, len(c.InForce), c.Waiting)
		}
	})
	if c.Stored && len(c.Waiting) > 0 {
		return errWaiting
	}
	return nil
}

const (
	maxInForcePolls = 20
	inForcePollWait = 500 * time.Millisecond
)

// putUntilInForce repeats an edit with the same operation ID until it is in force
// on all live daemons or maxInForcePolls is reached, and prints the progress. The
// API recognises the ID and makes the edit only once.
func (r *remote) putUntilInForce(put func(client.Edit) (schema.Change, error)) (schema.Change, error) {
	e := r.editOptions()
	e.Operation = schema.OperationID("op-" + rand.Text())
	e.Wait = inForcePollWait
	var c schema.Change
	for range maxInForcePolls {
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

// oneArg returns the only argument of a command. The error describes it by noun.
func oneArg(args []string, noun string) (string, error) {
	if len(args) != 1 {
		return "", usageError(fmt.Sprintf("expected exactly one argument (%s), got %d", noun, len(args)))
	}
	return args[0], nil
}

// group returns a command that only holds subcommands.
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

// command returns a command that calls the administration API of a daemon.
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
