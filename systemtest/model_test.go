package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nutmegnotch/core"
)

// bookingInput is the input of one attempt with an idempotency key.
type bookingInput struct{ key string }

// bookingOutput is the output of an attempt: its result and the booking id of
// the reply.
type bookingOutput struct {
	result  result
	booking string
}

// bookingModel is a register per key that is written at most once: the first
// reply sets the booking id, and every later reply must carry the same id.
var bookingModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			k := op.Input.(bookingInput).key
			byKey[k] = append(byKey[k], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() interface{} { return "" },
	Step: func(state, _, output interface{}) (bool, interface{}) {
		id, out := state.(string), output.(bookingOutput)
		if out.result != resultOK {
			return true, id
		}
		return id == "" || id == out.booking, out.booking
	},
	DescribeOperation: func(input, output interface{}) string {
		return fmt.Sprintf("%v -> %v", input, output)
	},
}

// configInput is the input of a read or a write of a configuration object:
// whether it writes, the version that the write is based on, and the new value.
type configInput struct {
	write   bool
	basedOn int64
	value   string
}

// configOutput is the output of a read or a write: whether a write was accepted,
// and the version and value after it.
type configOutput struct {
	accepted bool
	version  int64
	value    string
}

// testContract returns a contract that no caller uses. Different n give
// different contracts.
func testContract(name string, n int) core.Contract {
	return core.Contract{Organisation: name, CallerKeyHashes: []string{hash(name + "-key")}, Services: []string{deskService},
		RequestsPerSecond: float64(n + 1), TokensPerSecond: 1000, Concurrency: 10, ReplyTimeMS: 1000, ReplyMemoryBytes: 1 << 20, Weight: 1}
}

// configState is the version and value of one configuration object.
type configState struct {
	version int64
	value   string
}

// configModel is a versioned register with compare-and-swap. An accepted write
// must be based on the current version; a rejected one must not be.
var configModel = porcupine.Model{
	Init: func() interface{} { return configState{} },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		r, in, out := state.(configState), input.(configInput), output.(configOutput)
		switch {
		case !in.write:
			return r.version == out.version && r.value == out.value, r
		case out.accepted:
			return in.basedOn == r.version && out.version > r.version, configState{version: out.version, value: in.value}
		default:
			return in.basedOn != r.version, r
		}
	},
}

// linearizable reports whether operations are linearizable under a model. It
// returns false when the check takes longer than 30 s.
func linearizable(m porcupine.Model, ops []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(m, ops, 30*time.Second) == porcupine.Ok
}

// Guards against checkers that miss violations: each history holds one violation
// and must be rejected.
func TestCheckersRejectViolations(t *testing.T) {
	t.Parallel()
	now := time.Now()
	tests := []struct {
		name   string
		events []event
		check  func([]event) error
	}{
		{"not run but ran", []event{
			{kind: eventRunStart, requestID: "a"},
			{kind: eventResponse, requestID: "a", result: resultNotRun},
		}, checkNotRun},
		{"ran twice", []event{
			{kind: eventRunStart, requestID: "a", key: "k"},
			{kind: eventRunStart, requestID: "b", key: "k"},
		}, checkAtMostOnce},
		{"reply without run", []event{
			{kind: eventResponse, requestID: "a", key: "k", result: resultOK, value: "a"},
		}, checkAtMostOnce},
		{"work after drain", []event{
			{kind: eventDrained, domain: "d", at: now},
			{kind: eventRunStart, domain: "d", at: now.Add(4 * time.Second)},
		}, func(e []event) error { return checkNoWorkAfterDrain(e, 3*time.Second) }},
		{"work after leaving", []event{
			{kind: eventLeaving, server: "s", at: now},
			{kind: eventRunStart, server: "s", at: now.Add(4 * time.Second)},
		}, func(e []event) error { return checkNoWorkAfterLeaving(e, 3*time.Second) }},
		{"crossed reply", []event{
			{kind: eventResponse, requestID: "a", result: resultOK, value: "b"},
		}, checkReplyIntegrity},
		{"collapse", []event{{kind: eventOverloadCrash, server: "s"}}, checkNoOverloadCrash},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.check(tt.events) == nil {
				t.Error("got no error, want the violation reported")
			}
		})
	}
}

// Guards against models that accept two bookings for one key, or two accepted
// changes based on one version.
func TestModelsRejectViolations(t *testing.T) {
	t.Parallel()
	bookings := []porcupine.Operation{
		{ClientId: 0, Input: bookingInput{"k"}, Output: bookingOutput{resultOK, "1"}, Call: 0, Return: 10},
		{ClientId: 1, Input: bookingInput{"k"}, Output: bookingOutput{resultOK, "2"}, Call: 5, Return: 15},
	}
	if linearizable(bookingModel, bookings) {
		t.Error("two bookings for one key: got accepted, want rejected")
	}
	race := []porcupine.Operation{
		{ClientId: 0, Input: configInput{write: true, value: "x"}, Output: configOutput{accepted: true, version: 5}, Call: 0, Return: 10},
		{ClientId: 1, Input: configInput{write: true, value: "y"}, Output: configOutput{accepted: true, version: 6}, Call: 0, Return: 10},
	}
	if linearizable(configModel, race) {
		t.Error("two accepted changes on one version: got accepted, want rejected")
	}
}
