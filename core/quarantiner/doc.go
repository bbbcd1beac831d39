// Package quarantiner detects requests that crash engines, and refuses them after two crashes.
package quarantiner
