package traffic

import "time"

// Defaults returns the options of a fleet of 300 nodes and 240 runners as users run it:
// long prompts with short responses about many subjects, and short chats.
func Defaults() Options {
	return Options{
		Routers: 100, Runners: 240, RequestsPerSecond: 800, Duration: 4 * time.Second,
		LoadInterval: 60 * time.Millisecond, LoadDelay: 250 * time.Millisecond, NoticeDelay: 150 * time.Millisecond,
		Classes: []Class{
			{Name: "review", Share: 0.485, Heads: 4, Subjects: 3296, HeadTokens: 2520, BodyTokens: 3780, OwnTokens: 2890, OutTokens: 6, FirstTokenTarget: 800 * time.Millisecond, Deadline: 5 * time.Second},
			{Name: "chat", Share: 0.515, Heads: 80, Subjects: 1555, HeadTokens: 119, BodyTokens: 79, OwnTokens: 628, OutTokens: 32, FirstTokenTarget: 500 * time.Millisecond, Deadline: 15 * time.Second},
		},
	}
}
