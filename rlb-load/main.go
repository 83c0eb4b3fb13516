// Command rlb-load generates load for gateways, injects faults and checks invariants,
// and measures the cost of the control plane.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbcommand"
)

func main() { rlbcommon.Execute(rlbcommand.New()) }
