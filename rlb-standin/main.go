// Command rlb-standin runs stand-ins of the outside systems, for trials and tests.
package main

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbapp"
	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "rlb-standin", Short: "Stand-ins for the platform, model engines and plain services", SilenceUsage: true, SilenceErrors: true}
	for _, kind := range rlbapp.Kinds {
		root.AddCommand(rlbcommon.NewCommand(rlbcommon.ProgramOpts{
			Name: kind.Name, Short: kind.Short, Program: rlbsettings.ForStandin, Run: kind.Run,
		}))
	}
	rlbcommon.Execute(root)
}
