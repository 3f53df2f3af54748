// Package prove holds failure proofs: tests that run the real programs on
// loopback, kill, stop, freeze and partition them, and then compare the answers
// that callers received with the workers' own journals. No verdict relies on what
// the daemons report about themselves.
//
// The proofs need the build tag prove and the programs in bin/:
//
//	make prove                          runs all proofs
//	make prove NAME=zone-cut SEED=7     runs those whose name contains NAME
//
// Each proof prints one line, "PROOF <name> PASS|FAIL seed=<n> ...". Settings,
// logs and journals of a failed proof are kept in the folder that its line
// names. PROVE_PER_ZONE sets the number of daemons per zone (default 3).
package prove
