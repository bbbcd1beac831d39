// Command cactusctl is the operators' command line: it calls the administration API of the control instances.
package main
