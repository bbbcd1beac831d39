// Package reconfigurer selects the membership changes of an open control group, which replaces failed voters without an
// operator.
package reconfigurer
