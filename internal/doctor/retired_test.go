package doctor

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestRetiredListsModelsWithCountsOfRouters(t *testing.T) {
	router := func(retired ...messages.RetiredCondition) NodeResult {
		return NodeResult{Condition: &messages.Condition{Role: messages.Router, Retired: retired}}
	}
	results := []NodeResult{
		router(messages.RetiredCondition{Model: "m", Before: 5, SinceUs: 9_000_000, Runners: 2, Parts: 30}),
		router(messages.RetiredCondition{Model: "m", Before: 5, SinceUs: 8_000_000, Runners: 3, Parts: 20}),
		router(),
		{Condition: &messages.Condition{Role: messages.Controller}},
	}
	must.Eq(t, []string{"m below 5: retired on 2 of 3 routers, first 9 s ago; 3 runners still have such weights, with 30 parts of prompts"}, Retired(results))
}
