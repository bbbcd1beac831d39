// Package orderer has the HTTP handlers of operators' orders of rollouts.
package orderer
