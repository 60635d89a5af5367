package core_test

import (
	"fmt"

	"nutmegnotch/core"
)

func ExampleRequest_Cost() {
	model := core.Request{PromptTokens: 200, OutputTokens: 100}
	plain := core.Request{}
	fmt.Println(model.Cost(), plain.Cost())
	// Output: 300 1
}
