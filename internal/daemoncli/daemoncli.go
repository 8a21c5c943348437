// Package daemoncli is the command line of bamboowoodd.
package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bamboowood/internal/daemon"
	"bamboowood/internal/settings"
)

// cli defines the commands of bamboowoodd.
type cli struct {
	Entry    entryCmd    `cmd:"" help:"Run an entry: callers' and operators' HTTP, routing, scheduling."`
	Agent    agentCmd    `cmd:"" help:"Run the agent beside one VM's upstream."`
	Platform platformCmd `cmd:"" help:"Run on the users' platform."`
	Standin  standinCmd  `cmd:"" help:"Run stand-ins of the platform's services, for tests."`
	Dev      devCmd      `cmd:"" help:"Run everything in one process on loopback."`
	Check    checkCmd    `cmd:"" help:"Check settings files."`
	Example  exampleCmd  `cmd:"" help:"Write the example settings of a deployment."`
}

type entryCmd struct {
	Settings string `arg:"" help:"TOML settings file."`
}

// Run implements the entry command.
func (c *entryCmd) Run(ctx context.Context) error {
	cfg, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	logger, err := daemon.NewLogger(cfg.Log.Level)
	if err != nil {
		return err
	}
	e, err := daemon.NewEntry(cfg, c.Settings, logger)
	if err != nil {
		return err
	}
	e.LimitProcess()
	return e.Run(ctx)
}

type agentCmd struct {
	Settings string `arg:"" help:"TOML settings file."`
}

// Run implements the agent command.
func (c *agentCmd) Run(ctx context.Context) error {
	cfg, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	logger, err := daemon.NewLogger(cfg.Log.Level)
	if err != nil {
		return err
	}
	a, err := daemon.NewAgent(cfg, c.Settings, logger)
	if err != nil {
		return err
	}
	a.LimitProcess()
	return a.Run(ctx)
}

type standinCmd struct {
	Settings string `arg:"" help:"TOML settings file."`
}

// Run implements the standin command.
func (c *standinCmd) Run(ctx context.Context) error {
	cfg, err := settings.LoadStandin(c.Settings)
	if err != nil {
		return err
	}
	logger, err := daemon.NewLogger(cfg.Log.Level)
	if err != nil {
		return err
	}
	s, err := daemon.NewStandin(cfg, logger)
	if err != nil {
		return err
	}
	s.LimitProcess()
	return s.Run(ctx)
}

type devCmd struct {
	Callers    string `default:"127.0.0.1:7480" help:"Callers' listener."`
	Operators  string `default:"127.0.0.1:7481" help:"Operators' listener; the token is \"dev\"."`
	Deployment string `default:"paysandu" enum:"paysandu,kiatu" help:"Whose services, teams and zones: ${enum}."`
	LogLevel   string `default:"info" enum:"debug,info,warn,error" help:"Log level: ${enum}."`
}

// Run implements the dev command.
func (c *devCmd) Run(ctx context.Context) error {
	logger, err := daemon.NewLogger(c.LogLevel)
	if err != nil {
		return err
	}
	deployment, err := daemon.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	d, err := daemon.NewDev(daemon.DevOptions{Callers: c.Callers, Operators: c.Operators, Deployment: deployment, Log: logger})
	if err != nil {
		return err
	}
	d.LimitProcess()
	return d.Run(ctx)
}

type checkCmd struct {
	Files []string `arg:"" name:"file" help:"TOML settings files."`
}

// Run implements the check command.
func (c *checkCmd) Run() error {
	var errs []error
	for _, file := range c.Files {
		role, err := settings.Check(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Printf("%s: valid settings of role %s\n", file, role)
	}
	return errors.Join(errs...)
}

type exampleCmd struct {
	Deployment string `arg:"" enum:"paysandu,kiatu" help:"Whose deployment: ${enum}."`
	Dir        string `arg:"" help:"Directory to write to."`
}

// Run implements the example command.
func (c *exampleCmd) Run() error {
	deployment, err := daemon.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	return daemon.WriteExample(deployment, c.Dir)
}

// Exit codes of the daemon.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the daemon's command line and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser, err := kong.New(&c, kong.Name("bamboowoodd"), kong.UsageOnError(),
		kong.Description("Colocates latency-critical services with batch work on the same VMs."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboowoodd:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboowoodd:", err)
		return exitUsage
	}
	defer daemon.CloseLogs()
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bamboowoodd:", err)
		return exitFailed
	}
	return 0
}
