// Package configurer reads process settings from JSON with comments, and rejects unknown or invalid fields.
package configurer
