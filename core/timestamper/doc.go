// Package timestamper implements a hybrid logical clock. Its timestamps put the events of several processes in causal
// order although their wall clocks differ.
package timestamper
