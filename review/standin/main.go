package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){"hang": hang, "order": order, "path": path, "twice": twice, "lost": lost, "lone": lone}

// main plays a case: standin NAME RECORD. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		rec.printf("rule broken")
		fmt.Println("rule broken")
		os.Exit(1)
	}
	rec.printf("rule held")
	fmt.Println("rule held")
}
