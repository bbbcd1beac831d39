// Package certifier provides TLS configurations from certificate, key and CA files, which it reloads when they change.
package certifier
