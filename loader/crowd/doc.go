// Package crowd tests the programs against crowds of callers that stay within the limits of a request and cost as much
// as these allow.
package crowd
