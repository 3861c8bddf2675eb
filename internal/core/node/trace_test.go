package node

import (
	"fmt"
	"os"
	"strings"
)

// trace prints the events and effects that contain the key in
// MONSOONLANDING_TRACE, for debugging a failure.
func (w *world) trace(n *worldNode, kind string, v any) {
	key := os.Getenv("MONSOONLANDING_TRACE")
	if key == "" {
		return
	}
	text := fmt.Sprintf("%T %+v", v, v)
	if strings.Contains(text, key) {
		fmt.Printf("%9s %s %s %s\n", w.now.Sub(worldStart), n.member.ID, kind, text)
	}
}
