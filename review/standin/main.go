// Command standin runs one case of the review: it starts processes of the system with stand-ins for clients, replicas
// and the operator, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// caseTimeout is the longest time that a case runs.
const caseTimeout = 110 * time.Second

// scenario runs a case and returns the breaks of its rule. Without trouble it does the same without the disruption.
type scenario func(ctx context.Context, rec *record, trouble bool) (breaks []string, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runScenario(run, os.Args[2]))
}

func runScenario(run scenario, recordName string) int {
	rec, err := newRecord(recordName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %t", os.Args[1], trouble)
	breaks, err := run(ctx, rec, trouble)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	for _, b := range breaks {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaks) > 0 {
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
