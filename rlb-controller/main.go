// Command rlb-controller runs control on an entry instance.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbapp"
)

func main() {
	rlbcommon.Execute(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
		Name: "rlb-controller", Short: "Runs control: notes, leases, placement, orders, claims",
		Program: rlbsettings.ForController, Run: rlbapp.Run,
	}))
}
