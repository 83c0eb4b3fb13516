// Command rlb-node serves callers and places models: one process an instance,
// on a platform that sets no instance aside for control.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbapp"
)

func main() {
	rlbcommon.Execute(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
		Name: "rlb-node", Short: "Serves callers and places models, one process an instance",
		Program: rlbsettings.ForNode, BoundedLog: true, Run: rlbapp.Run,
	}))
}
