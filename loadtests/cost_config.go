package loadtests

import (
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/settings"
)

// configRecordCounts are the numbers of records of non-idempotent requests, and of
// operator commands, for which costs are measured.
var configRecordCounts = []int{1_000, 4_000, 16_000}

// runRecordCosts measures the cost of one non-idempotent request in the state
// machine: its two entries are encoded, decoded and applied. The wire bytes are
// those of both entries.
func runRecordCosts() costCurve {
	curve := costCurve{operation: "record of a non-idempotent request", sizeUnit: "records"}
	for _, n := range configRecordCounts {
		state, bytes := configs.New(), 0
		c := measureCost(n, func(i int) {
			key := configs.RunKey{Workspace: "workspace-0001", Key: fmt.Sprintf("0b3c1a52-9a49-4ad1-8c1e-%012d", i)}
			run := "run-" + key.Key
			bytes += applyCommand(state, 2*i, configs.BeginRun{
				RunKey: key, Run: run, BodyHash: uint64(i), Owner: "entry-001", Retention: settings.Duration(time.Hour),
			})
			bytes += applyCommand(state, 2*i+1, configs.FinishRun{RunKey: key, Run: run, Outcome: configs.Outcome{
				Verdict: gypsumshelf.Ran, Status: 200, ContentType: "application/json", Body: []byte(`{"call":"0b3c1a52","runs":1}`),
			}})
		}, state)
		c.wireBytes = float64(bytes) / float64(n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

// operatorCommandCosts measures the cost of one operator command in the state
// machine.
func operatorCommandCosts() costCurve {
	curve := costCurve{operation: "operator command", sizeUnit: "commands"}
	for _, n := range configRecordCounts {
		state, bytes := configs.New(), 0
		c := measureCost(n, func(i int) {
			action := configs.ActionTakeOut
			if i%2 == 1 {
				action = configs.ActionBringBack
			}
			bytes += applyCommand(state, i, configs.OperatorCommand{
				CommandID: fmt.Sprintf("0b3c1a52-9a49-4ad1-8c1e-%012d", i), Operator: "127.0.0.1", Revision: state.Revision(),
				Change: configs.Change{Action: action, Name: "wien-nord"},
			})
		}, state)
		c.wireBytes = float64(bytes) / float64(n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

// applyCommand encodes a command, decodes and applies it, and returns the encoded
// length.
func applyCommand(state *configs.State, i int, command configs.Command) int {
	data, err := configs.Entry{Origin: "entry-001", Token: fmt.Sprintf("token-%d", i), Command: command}.Encode()
	if err != nil {
		panic(err)
	}
	entry, err := configs.DecodeEntry(data)
	if err != nil {
		panic(err)
	}
	result := state.Apply(uint64(i+1), time.Unix(0, int64(i)), entry.Command)
	if !result.Accepted() {
		panic(fmt.Sprintf("command %d was refused: %s %s", i, result.Code, result.Text))
	}
	return len(data)
}
