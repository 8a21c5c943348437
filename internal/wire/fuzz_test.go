package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"bamboowood/internal/job"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// FuzzMessages guards against panics and invalid values when messages received from other
// processes are decoded. Malformed messages are skipped.
func FuzzMessages(f *testing.F) {
	run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8", Index: 3}, Number: 1 << 40}
	for _, m := range []proto.Message{
		&wirepb.AgentMessage{
			Snapshot: true, Beat: 1 << 62, Runner: wire.RunnerInfo(&job.Runner{ID: "i-1", Service: "s"}),
			Active: []*wirepb.RunActivity{{Run: wire.RunRef(run), Percent: -1 << 31}}, Ends: []*wirepb.RunEnd{{}},
		},
		&wirepb.LeaderMessage{
			Term: 1 << 62, Starts: []*wirepb.StartOrder{{}}, Grant: &wirepb.LeaseGrant{HoldMs: 1 << 62},
		},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var agent wirepb.AgentMessage
		if proto.Unmarshal(data, &agent) == nil {
			_ = wire.Runner(agent.Runner)
			for _, a := range wire.Activities(agent.Active) {
				if a.Run.Task.Index < 0 || a.Run.Task.Step < 0 {
					t.Fatalf("activity of %+v", a.Run)
				}
			}
			for _, e := range agent.Ends {
				_, _ = wire.End(e)
			}
		}
		var leader wirepb.LeaderMessage
		if proto.Unmarshal(data, &leader) == nil {
			for _, o := range leader.Starts {
				_, _ = wire.Run(o.Details.GetRun())
			}
		}
	})
}
