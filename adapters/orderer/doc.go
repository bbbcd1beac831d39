// Package orderer has the HTTP handlers of operators' orders of rollouts, and their client.
package orderer
