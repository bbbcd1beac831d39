// Package loader sends requests to a fleet; its subpackages generate load and measure how the fleet serves it.
package loader
