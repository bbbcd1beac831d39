// Package reconfigurer decides the next membership change of a control group that no operator looks after.
package reconfigurer
