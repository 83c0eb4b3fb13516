// Command rlb-load drives gateways with open-loop load.
package main

import "fmt"

func main() { fmt.Println("rlb-load: see issue 6") }
