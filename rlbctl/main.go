// Command rlbctl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/rhubarblb/rhubarblb/rlbctl/pkg/rlbcommand"
)

func main() {
	os.Exit(int(rlbcommand.Execute(os.Args[1:], os.Stdout, os.Stderr)))
}
