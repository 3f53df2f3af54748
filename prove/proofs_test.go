//go:build prove

package prove

import "time"

// proofs are run in this order.
var proofs = []proof{
	{name: "whole-answer-under-kill", bound: 90 * time.Second, run: wholeAnswerUnderKill},
	{name: "not-repeatable-at-most-once", bound: 150 * time.Second, run: atMostOnce},
	// The lease is longer than the bound allows beyond it, so that members that are
	// left to their leases are not taken for stopped ones.
	{name: "no-partial-gang", bound: 90 * time.Second, setup: options{workersPerRack: 4, leaseSeconds: 10}, run: noPartialGang},
	{name: "not-run-is-true", bound: 60 * time.Second, run: notRunIsTrue},
	{name: "leaving-worker", bound: 60 * time.Second, run: leavingWorker},
	{name: "planned-stop", bound: 180 * time.Second, run: plannedStop},
	{name: "cancellation-wave", bound: 60 * time.Second, run: cancellationWave},
	{name: "late-and-reordered-answers", bound: 60 * time.Second, run: lateAnswers},
	{name: "silent-connections", bound: 60 * time.Second, run: silentConnections},
	{name: "zone-cut-and-heal", bound: 90 * time.Second, run: zoneCutAndHeal},
	{name: "one-way-cut", bound: 75 * time.Second, run: oneWayCut},
	{name: "leader-freeze", bound: 75 * time.Second, run: leaderFreeze},
	{name: "lost-disk-then-second-loss", bound: 90 * time.Second, run: lostDisk},
	{name: "disk-instance-down", bound: 90 * time.Second, run: withoutDisk},
	{name: "all-processes-of-a-zone-die", bound: 90 * time.Second, run: zoneDies},
	{name: "operators-race", bound: 60 * time.Second, run: operatorsRace},
	{name: "config-never-reverts", bound: 120 * time.Second, run: configNeverReverts},
	{name: "guarantee-reclaim", bound: 75 * time.Second, run: guaranteeReclaim},
	{name: "region-lost-disk", bound: 90 * time.Second, setup: options{region: true}, run: regionLostDisk},
	{name: "region-all-processes-die", bound: 90 * time.Second, setup: options{region: true}, run: regionDies},
	{name: "region-zone-cut", bound: 90 * time.Second, setup: options{region: true}, run: regionZoneCut},
	{name: "random", bound: 120 * time.Second, run: randomFaults},
}
