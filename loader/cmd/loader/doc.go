// Command loader measures a small fleet under load.
package main
