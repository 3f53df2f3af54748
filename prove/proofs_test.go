//go:build prove

package prove

import "time"

// proofs lists all proofs in the order in which they run.
var proofs = []proof{
	{name: "whole-answer-under-kill", timeLimit: 90 * time.Second, run: wholeAnswerUnderKill},
	{name: "not-repeatable-at-most-once", timeLimit: 150 * time.Second, run: notRepeatableAtMostOnce},
	// The lease is longer than the time that gangStopLimit allows beyond one lease,
	// so that members whose own leases merely run out do not pass as stopped in time.
	{name: "no-partial-gang", timeLimit: 90 * time.Second, options: clusterOptions{workersPerRack: 4, leaseSeconds: 10}, run: noPartialGang},
	{name: "not-run-is-true", timeLimit: 60 * time.Second, run: notRunIsTrue},
	{name: "leaving-worker", timeLimit: 60 * time.Second, run: leavingWorker},
	{name: "planned-stop", timeLimit: 180 * time.Second, run: plannedStop},
	{name: "cancellation-wave", timeLimit: 60 * time.Second, run: cancellationWave},
	{name: "late-and-reordered-answers", timeLimit: 60 * time.Second, run: lateAndReorderedAnswers},
	{name: "silent-connections", timeLimit: 60 * time.Second, run: silentConnections},
	{name: "zone-cut-and-heal", timeLimit: 90 * time.Second, run: zoneCutAndHeal},
	{name: "one-way-cut", timeLimit: 75 * time.Second, run: oneWayCut},
	{name: "leader-freeze", timeLimit: 75 * time.Second, run: leaderFreeze},
	{name: "lost-disk-then-second-loss", timeLimit: 90 * time.Second, run: lostDiskThenSecondLoss},
	{name: "disk-instance-down", timeLimit: 90 * time.Second, run: diskInstanceDown},
	{name: "all-processes-of-a-zone-die", timeLimit: 90 * time.Second, run: allProcessesOfZoneDie},
	{name: "operators-race", timeLimit: 60 * time.Second, run: operatorsRace},
	{name: "config-never-reverts", timeLimit: 120 * time.Second, run: configNeverReverts},
	{name: "guarantee-reclaim", timeLimit: 75 * time.Second, run: guaranteeReclaim},
	{name: "region-lost-disk", timeLimit: 90 * time.Second, options: clusterOptions{region: true}, run: regionLostDisk},
	{name: "region-all-processes-die", timeLimit: 90 * time.Second, options: clusterOptions{region: true}, run: allProcessesOfRegionDie},
	{name: "region-zone-cut", timeLimit: 90 * time.Second, options: clusterOptions{region: true}, run: regionZoneCut},
	{name: "random", timeLimit: 120 * time.Second, run: randomFaults},
}
