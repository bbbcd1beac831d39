// Package arranger decides how many endpoints hold a copy of a prompt part that many requests share.
package arranger
