// Package transporter implements both ends of the protocol between control instances, which carries consensus messages,
// forwarded proposals, announcements and soft state. Delivery is best effort: every message may be lost.
package transporter
