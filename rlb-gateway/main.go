// Command rlb-gateway runs a gateway, which serves callers.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbapp"
)

func main() {
	rlbcommon.Execute(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
		Name: "rlb-gateway", Short: "Serves callers: model requests and plain services",
		Program: rlbsettings.ForGateway, Run: rlbapp.Run,
	}))
}
