// Command control runs a control instance.
package main
