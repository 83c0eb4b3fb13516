// Command standin-2 plays the cases of the second review that no day of the bench can hold:
// it starts the system's processes on loopback, is their platform, replicas and consumers, and
// checks one rule.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(dir string, r *record){
	"release":    playRelease,
	"late-order": playLateOrder,
	"refusal":    playRefusal,
	"removed":    playRemoved,
	"moved":      playMoved,
	"gone":       playGone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standin-2 CASE FOLDER")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("%v", err)
	}
	r := newRecord(os.Args[2] + "/record.txt")
	cases[os.Args[1]](dir, r)
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if r.broken > 0 {
		fmt.Println("the rule was broken", r.broken, "times")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
