// Command agent runs next to an endpoint, and admits and forwards requests from routers.
package main
