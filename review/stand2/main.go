// Command stand2 runs the cases of a review: it starts the project's programs as processes on
// loopback addresses, with stand-ins for servers, clients and the platform's operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// argumentCount is the number of words of a command line: the program, the case and the folder of
// its record.
const argumentCount = 3

func main() {
	cases := map[string]func(*record, bool) (bool, error){
		"orphan":  orphan,
		"slash":   slash,
		"encoded": encoded,
		"foreign": foreign,
		"unread":  unread,
	}
	if len(os.Args) != argumentCount || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*record, bool) (bool, error), folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	broken, err := run(record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.printf("the rule was broken")
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}
