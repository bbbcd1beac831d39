// Package router serves the HTTP requests of callers and forwards them to agents.
//
// An error response has the header X-Cactusroute-Outcome: not-run only in the cases below. For a request without an
// Idempotency-Key it means that no endpoint has run or will run this request:
//
//   - The route is unknown, the API key is missing or wrong, or a header, body, model, service or path is malformed,
//     late or too large (400, 401, 404, 408, 413, 431): the request was not sent to an endpoint.
//   - The router has had no current view since its start (503): it has no endpoints to send requests to.
//   - The router's limit, or the workspace's share of its fleet-wide limit, is reached (503, 429): the request was not
//     sent to an endpoint.
//   - Every attempt was refused by an agent, which refuses before it forwards, or was never sent (422, 503, 504).
//
// For an operation, which runs at most once, it means that the operation under this Idempotency-Key has not run and is
// not running. Only the claim holds that information, so there is one case:
//
//   - Control replied that no generation of the claim has run or may still run. The router asks control when no
//     candidate is left or an agent refused the operation permanently (422, 503, 504). The agent records the refusal
//     of a generation and also refuses delayed copies.
//
// All other errors have X-Cactusroute-Outcome: unknown. These include errors of requests that may have run, and all
// errors on a service route that occur for a request with an Idempotency-Key before its claim is read.
package router
