// Package attributor attributes crashes of endpoints to parts of prompts that the requests in flight had in common, so
// that requests with such a part can be refused before they crash more endpoints.
package attributor
