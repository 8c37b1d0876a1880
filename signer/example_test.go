package signer_test

import (
	"bytes"
	"fmt"

	"rosemaryarch.example/rosemaryarch/signer"
)

// A token is valid in its own workspace only.
func Example() {
	s, err := signer.Signer{}.WithKey("k1", bytes.Repeat([]byte{1}, signer.MinSecretBytes))
	if err != nil {
		fmt.Println(err)
	}
	text, err := s.Sign(signer.Token{Workspace: "one", Session: "s", Model: "small", Version: "small@v1"})
	if err != nil {
		fmt.Println(err)
	}
	t, err := s.Verify(text, "one")
	fmt.Println(t.Version, err)
	_, err = s.Verify(text, "two")
	fmt.Println(err)
	// Output:
	// small@v1 <nil>
	// signer: token of another workspace
}
