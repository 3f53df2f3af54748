// Package prove holds failure proofs: tests that run the real programs on
// loopback, kill, stop, freeze and cut them off, and then compare what callers
// were told with the workers' own journals. The daemons' word is never taken.
//
// The proofs need the build tag prove and the programs in bin/:
//
//	make prove                          runs all proofs
//	make prove NAME=zone-cut SEED=7     runs those whose name contains NAME
//
// Each proof prints one line, "PROOF <name> PASS|FAIL seed=<n> ...". Settings,
// logs and journals of a failed proof are kept in the folder that its line
// names. PROVE_PER_ZONE sets the daemons per zone (default 3).
package prove
