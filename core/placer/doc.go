// Package placer ranks the endpoints of a pool for a chat, so that a returning chat reaches the endpoint that still
// caches its context.
//
// A Pool is an immutable membership with precomputed hashes. A MemberIterator yields its members for a key in the
// order of weighted rendezvous hashing, the workspace's Subset first. A CandidateIterator yields the endpoints to which
// a request is sent in turn. A History keeps former memberships, from which FormerPrimaries derives
// the endpoints that may still cache a chat. Sizer and Tracker hold the observations of one router: the workspaces'
// shares of the load, and the loads, refusals and failures of endpoints. Neither is safe for concurrent use.
package placer
