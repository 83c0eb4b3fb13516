// Command rlb-load drives gateways with open-loop load.
package main

func main() {}
