// Package messenger carries CBOR messages over WebSocket connections between the processes of the fleet.
package messenger
