// Command rlb-load drives gateways with load and measures what control costs.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbcommand"
)

func main() { rlbcommon.Execute(rlbcommand.New()) }
