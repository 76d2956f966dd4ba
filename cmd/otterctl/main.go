// Command otterctl is the operator's tool: it shows many instances through many
// agents and commands them as one group.
//
// Exit codes: 0 all done, 1 some failed, 2 wrong usage, 3 some did not answer, 4
// another command came first.
package main

import (
	"os"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/ctl"
)

func main() { os.Exit(cli.Run(ctl.Command())) }
