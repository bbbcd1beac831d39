// Package advancer lets a control instance drive running rollouts: it asks a rollouter.Driver several times a second
// and commits what it decides.
package advancer
