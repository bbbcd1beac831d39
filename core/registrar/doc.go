// Package registrar keeps the endpoints that registered themselves. Records of several instances merge to the same
// table in any order: the newest start of an endpoint wins, then the highest sequence number.
package registrar
