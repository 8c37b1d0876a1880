package streamer_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// A stream without its end marker is not a complete answer.
func Example() {
	s := streamer.New(streamer.Request{RequestID: "r", AttemptID: "a", MaxTokens: 10})
	text, err := s.Accept(framer.EngineEvent{RequestID: "r", AttemptID: "a", Index: 0, Text: "hello"})
	fmt.Println(text, err)
	_, err = s.Accept(framer.EngineEvent{RequestID: "r", AttemptID: "b", Index: 1, Text: "other"})
	fmt.Println(err)
	fmt.Println(s.Close(nil))
	// Output:
	// hello <nil>
	// request "r", attempt "b": streamer: event does not match the answer
	// after 1 tokens: streamer: stream closed without end marker
}
