package daemoncli

import (
	"context"

	"bamboowood/internal/daemon"
)

// platformCmd runs the processes that the users' platform starts. The platform passes the path
// of their settings file in an environment variable.
type platformCmd struct {
	Entry platformEntryCmd `cmd:"" help:"Run an entry: accept jobs, and lead the scheduling if no other entry does."`
	Agent platformAgentCmd `cmd:"" help:"Run the agent beside a runner."`
}

type platformEntryCmd struct{}

// Run implements the platform entry command.
func (platformEntryCmd) Run(ctx context.Context) error {
	node, err := daemon.NewPlatformNode("entry")
	if err != nil {
		return err
	}
	defer node.Close()
	return node.RunEntry(ctx)
}

type platformAgentCmd struct{}

// Run implements the platform agent command.
func (platformAgentCmd) Run(ctx context.Context) error {
	node, err := daemon.NewPlatformNode("agent")
	if err != nil {
		return err
	}
	defer node.Close()
	return node.RunAgent(ctx)
}
