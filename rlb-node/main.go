// Command rlb-node serves callers and places models. It runs as one process on each
// instance of a platform that has no separate instances for control.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbapp"
)

func main() {
	rlbcommon.Execute(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
		Name: "rlb-node", Short: "Serves callers and places models, one process per instance",
		Program: rlbsettings.ForNode, BoundedLog: true, Run: rlbapp.Run,
	}))
}
