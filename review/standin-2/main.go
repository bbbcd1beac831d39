// Program standin2 runs the cases of the second review: it starts the processes of the deploy file on loopback addresses,
// plays their platform, operator, replicas and clients, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// scenario runs one case; it returns what broke the rule, "" if it held, and an error if the case couldn't run.
type scenario func(ctx context.Context, env *environment) (broken string, err error)

// environment is what a scenario gets from its script.
type environment struct {
	rec     *record
	root    string // of the repository
	trouble bool   // whether the disruption happens
}

var scenarios = map[string]scenario{"popular": popularQuestions, "middle": middlePart, "answers": largeAnswers,
	"firststart": firstStart, "long": longStreams, "chunk": oddChunk}

// maxRunTime is shorter than the 120 seconds that a script may take.
const maxRunTime = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO REPOSITORY RECORD")
		os.Exit(2)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts // the scenarios would sleep on
		started.kill()
		os.Exit(2)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	env := &environment{rec: rec, root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := run(ctx, env)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.printf("the rule held")
	fmt.Println("held")
}

// envInt returns a number from the environment.
func envInt(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}
