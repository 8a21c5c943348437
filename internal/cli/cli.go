// Package cli is the operators' command-line client. It reads statements from
// arguments, a pipe or a prompt, and prints their results as tables or JSON.
package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/term"

	"bamboowood/internal/client"
	"bamboowood/internal/statement"
	"bamboowood/internal/verdict"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused means that the statement was rejected and changed nothing.
	ExitRefused = 1
	// ExitUsage means that the flags or the statement are invalid and nothing changed.
	ExitUsage = 2
	// ExitUnknown means that it is unknown whether the command took effect.
	ExitUnknown = 3
)

// Env is the environment of the process.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	// InTerminal and OutTerminal are set if Stdin and Stdout are terminals.
	InTerminal, OutTerminal bool
	// Width is the terminal's width in columns, or 0 if unknown.
	Width int
}

type flags struct {
	Statement []string `arg:"" optional:"" help:"A statement, such as: show upstreams. With none, statements are read from the prompt or from a pipe, one a line."`

	Output    string        `short:"o" enum:"table,json" default:"table" help:"Form of the results: table or json."`
	Operators string        `env:"BAMBOOWOOD_OPERATORS" default:"http://127.0.0.1:7481" placeholder:"ADDRESS" help:"Operators' address of an entry: HOST:PORT or a URL."`
	Token     string        `env:"BAMBOOWOOD_TOKEN" help:"Bearer token."`
	TokenFile string        `type:"path" placeholder:"FILE" help:"File with the bearer token."`
	CA        string        `name:"ca" type:"path" placeholder:"FILE" help:"PEM certificates that sign the entry's."`
	Cert      string        `type:"path" placeholder:"FILE" help:"PEM client certificate."`
	Key       string        `type:"path" placeholder:"FILE" help:"PEM key of the client certificate."`
	Timeout   time.Duration `default:"15s" help:"Longest wait for one answer."`
	ID        string        `name:"id" placeholder:"ID" help:"Command id: a command that is repeated with the same id takes effect once."`
	Wait      bool          `help:"Follow the command until it is done: a drain, a wave of cancellations, or a configuration in force at all upstreams."`
	Confirm   bool          `short:"y" help:"Confirm cancellations without asking."`

	Completion bool `help:"Print the completion script for bash and exit."`
	Complete   bool `hidden:"" help:"Print what may follow the statement."`
}

const examples = `Examples:
  bamboowood show upstreams
  bamboowood "show tasks where state = pending order by age_ms desc limit 10"
  bamboowood explain watch lash-watch-1
  bamboowood dry run drain zone norte
  bamboowood drain zone norte --wait
  bamboowood set service glint-check wait = 300ms
  bamboowood -o json show changes limit 5 | jq .rows
  bamboowood < statements.txt

Exit codes: 0 done, 1 refused (it did not happen), 2 wrong usage,
3 unknown whether it happened (repeat with the same --id).`

// session is one invocation of the client.
type session struct {
	flags  flags
	env    Env
	client *client.Client
}

// exitPanic is the panic value that carries kong's exit code to Run.
type exitPanic int

// Run runs the client and returns its exit code.
func Run(ctx context.Context, args []string, env Env) (code int) {
	defer func() {
		if v := recover(); v != nil {
			exit, ok := v.(exitPanic)
			if !ok {
				panic(v)
			}
			code = int(exit)
		}
	}()
	s := &session{env: env}
	parser, err := kong.New(&s.flags, kong.Name("bamboowood"),
		kong.Description("Asks and orders bamboowood: what runs where and why, drains, stops, configuration.\n\n"+examples),
		kong.Writers(env.Stdout, env.Stderr), kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if err != nil {
		return s.usageError(err)
	}
	if _, err := parser.Parse(args); err != nil {
		return s.usageError(err)
	}
	return s.run(ctx)
}

func (s *session) usageError(err error) int {
	fmt.Fprintf(s.env.Stderr, "bamboowood: %v\nSee: bamboowood --help\n", err)
	return ExitUsage
}

func (s *session) run(ctx context.Context) int {
	if s.flags.Completion {
		fmt.Fprint(s.env.Stdout, completionScript)
		return ExitOK
	}
	httpClient, err := s.httpClient()
	if err != nil {
		return s.usageError(err)
	}
	token, err := s.token()
	if err != nil {
		return s.usageError(err)
	}
	base, err := client.Address(s.flags.Operators)
	if err != nil {
		return s.usageError(err)
	}
	s.client = client.New(base, token, httpClient)
	text := strings.Join(s.flags.Statement, " ")
	switch {
	case s.flags.Complete:
		return s.printCandidates(ctx, text)
	case text != "":
		return s.runStatement(ctx, text)
	case s.env.InTerminal:
		return s.runPrompt(ctx)
	}
	return s.runPipe(ctx)
}

func (s *session) token() (string, error) {
	if s.flags.TokenFile == "" {
		return s.flags.Token, nil
	}
	data, err := os.ReadFile(s.flags.TokenFile)
	if err != nil {
		return "", fmt.Errorf("--token-file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (s *session) httpClient() (*http.Client, error) {
	config, err := tlsConfig(s.flags.CA, s.flags.Cert, s.flags.Key)
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport, Timeout: s.flags.Timeout}, nil
}

// runPipe executes statements line by line and stops at the first that fails.
func (s *session) runPipe(ctx context.Context) int {
	scanner := bufio.NewScanner(s.env.Stdin)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if code := s.runStatement(ctx, text); code != ExitOK {
			fmt.Fprintf(s.env.Stderr, "stopped at line %d\n", line)
			return code
		}
	}
	if err := scanner.Err(); err != nil {
		return s.usageError(fmt.Errorf("standard input: %w", err))
	}
	return ExitOK
}

// unknownOutcomeRetries is how often a command with an unknown outcome is sent again.
const unknownOutcomeRetries = 2

// runStatement executes one statement, prints its result and returns the exit code.
func (s *session) runStatement(ctx context.Context, text string) int {
	opts := client.Options{ID: s.flags.ID, Repeat: s.flags.ID != "", Confirm: s.flags.Confirm, MaxRetries: unknownOutcomeRetries}
	if opts.ID == "" {
		opts.ID = statement.NewID()
	}
	result, err := s.client.Run(ctx, text, opts)
	if needsConfirm(err) && s.env.InTerminal && s.askConfirmation(err) {
		opts.Confirm = true
		result, err = s.client.Run(ctx, text, opts)
	}
	if err != nil {
		return s.reportError(text, opts.ID, err)
	}
	if err := s.printResult(result); err != nil {
		return s.usageError(err)
	}
	if s.flags.Wait {
		s.followProgress(ctx, text, result)
	}
	return ExitOK
}

func needsConfirm(err error) bool {
	var e *statement.Error
	return errors.As(err, &e) && e.Reason == statement.NeedsConfirm
}

// askConfirmation prompts on the terminal whether to continue.
func (s *session) askConfirmation(err error) bool {
	fmt.Fprintf(s.env.Stderr, "%v\ncarry it out? [y/N] ", err)
	var answer string
	if _, err := fmt.Fscanln(s.env.Stdin, &answer); err != nil {
		return false
	}
	return strings.EqualFold(answer, "y") || strings.EqualFold(answer, "yes")
}

// reportError prints an error and returns its exit code.
func (s *session) reportError(text, id string, err error) int {
	var e *statement.Error
	if !errors.As(err, &e) {
		e = &statement.Error{Outcome: verdict.MayHaveRun, Reason: statement.OutcomeUnknown, Detail: err.Error()}
	}
	if s.flags.Output == "json" {
		s.printJSON(e.Problem())
	} else {
		s.printError(text, e)
	}
	if client.IsUnknown(err) {
		fmt.Fprintf(s.env.Stderr, "the command's id is %s; to settle it, send it again with --id %s\n", id, id)
	}
	switch {
	case client.IsUnknown(err):
		return ExitUnknown
	case e.Reason == statement.Syntax || e.Reason == statement.UnknownField || e.Reason == statement.InvalidValue:
		return ExitUsage
	}
	return ExitRefused
}

// printError prints an error. If it has a position, a caret marks the word.
func (s *session) printError(text string, e *statement.Error) {
	w := s.env.Stderr
	if e.Position != nil && e.Position.Line == 1 && !strings.ContainsAny(text, "\r\n\t") {
		fmt.Fprintf(w, "%s\n%s^\n", text, strings.Repeat(" ", e.Position.Column-1))
	}
	if client.IsUnknown(e) {
		fmt.Fprint(w, "unknown whether it happened: ")
	}
	fmt.Fprintln(w, e.Error())
	if e.InForce != "" {
		fmt.Fprintf(w, "in force: %s\n", e.InForce)
	}
	if e.Suggestion != "" {
		fmt.Fprintf(w, "did you mean %q?\n", e.Suggestion)
	}
	if len(e.Expected) > 0 {
		fmt.Fprintln(w, wrap("expected: "+strings.Join(e.Expected, ", "), s.width()))
	}
}

// progressInterval is the time between two progress requests.
const progressInterval = 500 * time.Millisecond

// followProgress prints the progress of an accepted command until it is done. It polls
// by sending the command again with the same id, which changes nothing.
func (s *session) followProgress(ctx context.Context, text string, result statement.Result) {
	opts := client.Options{ID: result.ChangeID, Repeat: true, Confirm: true}
	last := ""
	for result.Progress != nil {
		if line := progressLine(*result.Progress); line != last {
			s.printProgress(line, result.Progress.Done)
			last = line
		}
		if result.Progress.Done {
			return
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(s.env.Stderr, "the command is accepted and goes on; follow it with --id %s --wait\n", result.ChangeID)
			return
		case <-time.After(progressInterval):
		}
		next, err := s.client.Run(ctx, text, opts)
		if err != nil {
			s.printProgress("no answer, asking again", false)
			last = ""
			continue
		}
		result = next
	}
}

func progressLine(p statement.Progress) string {
	var remaining []string
	add := func(n int, what string) {
		if n > 0 {
			remaining = append(remaining, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(p.Tasks, "tasks left")
	add(p.Requests, "requests left")
	add(p.Behind, "upstreams behind")
	switch {
	case p.Done:
		return p.Object + ": done"
	case p.Tasks < 0:
		return p.Object + ": progress is not known now"
	}
	return p.Object + ": " + strings.Join(remaining, ", ")
}

func (s *session) printProgress(line string, done bool) {
	if !s.env.OutTerminal {
		fmt.Fprintln(s.env.Stderr, line)
		return
	}
	fmt.Fprintf(s.env.Stderr, "\r\x1b[K%s", line)
	if done {
		fmt.Fprintln(s.env.Stderr)
	}
}

// Main runs the client with this process's arguments until it is done or
// interrupted, and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], osEnv())
}

// osEnv returns the environment of this process.
func osEnv() Env {
	env := Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
		InTerminal: term.IsTerminal(int(os.Stdin.Fd())), OutTerminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
	if width, _, err := term.GetSize(int(os.Stdout.Fd())); err == nil && env.OutTerminal {
		env.Width = width
	}
	return env
}
