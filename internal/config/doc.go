// Package config holds the operators' configuration: the files that operators
// write (parse, check, collect, difference), the replicated state machine of the
// configuration group, and the adopter that brings accepted changes into each
// availability zone's log.
package config
