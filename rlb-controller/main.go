// Command rlb-controller runs a controller: membership, leases, placement, orders,
// release notes and claims.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbapp"
)

func main() {
	rlbcommon.Execute(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
		Name: "rlb-controller", Short: "Runs a controller: release notes, leases, placement, orders, claims",
		Program: rlbsettings.ForController, Run: rlbapp.Run,
	}))
}
