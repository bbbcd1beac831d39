// Package quarantiner detects requests that crash engines, and refuses them before they crash a third one.
package quarantiner
