// Command rlbctl is the operator's command line.
package main

import (
	"os"

	"github.com/rhubarblb/rhubarblb/rlbctl/pkg/rlbcommand"
)

func main() {
	os.Exit(int(rlbcommand.Execute(os.Args[1:], os.Stdout, os.Stderr)))
}
