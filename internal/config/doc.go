// Package config implements the operators' configuration: parsing, checking,
// merging and comparing the files that operators write, the replicated state
// machine of the configuration group, and the adopter that proposes accepted
// changes to each availability zone's log.
package config
