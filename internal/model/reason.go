package model

// Reason is the reason why a request was refused, retried or concluded. Each
// refusal reason and each retry reason has a counter.
type Reason string

// Reasons for refusals. They are also the stable codes in problem documents.
const (
	ReasonInvalid           Reason = "invalid_request"
	ReasonTooLarge          Reason = "too_large"
	ReasonNotFound          Reason = "not_found"
	ReasonKeyConflict       Reason = "key_conflict"
	ReasonUnknownCustomer   Reason = "unknown_customer"
	ReasonUnknownKey        Reason = "unknown_key"
	ReasonNotSupported      Reason = "not_supported"
	ReasonQueueFull         Reason = "queue_full"
	ReasonNeverFits         Reason = "never_fits"
	ReasonDeadlineUnmet     Reason = "deadline_cannot_be_met"
	ReasonNoConfiguration   Reason = "no_configuration"
	ReasonNoDurableReplica  Reason = "no_durable_replica"
	ReasonNoLeader          Reason = "no_leader"
	ReasonOwnerUnreachable  Reason = "owner_zone_unreachable"
	ReasonOutcomeUnknown    Reason = "outcome_unknown"
	ReasonStopping          Reason = "stopping"
	ReasonOverloaded        Reason = "overloaded"
	ReasonVersionConflict   Reason = "version_conflict"
	ReasonPublishKeyReuse   Reason = "publish_key_reused"
	ReasonGuaranteesTooBig  Reason = "guarantees_do_not_fit"
	ReasonStaleFence        Reason = "stale_fencing_number"
	ReasonStaleTerm         Reason = "stale_term"
	ReasonWorkerFull        Reason = "worker_full"
	ReasonWorkerLeaving     Reason = "worker_leaving"
	ReasonInternal          Reason = "internal_error"
	ReasonMethodNotAllowed  Reason = "method_not_allowed"
	ReasonPlacementOutdated Reason = "placement_outdated"
	ReasonUnknownZone       Reason = "unknown_zone"
	ReasonOvertaken         Reason = "overtaken"
)

// Reasons for final states and retries.
const (
	ReasonCancelled      Reason = "cancelled_by_caller"
	ReasonDeadlinePassed Reason = "deadline_passed"
	ReasonTaskFailed     Reason = "task_failed"
	ReasonTooManyFails   Reason = "failed_on_several_workers"
	ReasonCrashesWorkers Reason = "crashes_workers"
	ReasonWorkerLost     Reason = "worker_lost"
	ReasonReserveFailed  Reason = "reserve_failed"
	ReasonStartFailed    Reason = "start_failed"
	ReasonReclaimed      Reason = "reclaimed"
	ReasonTimeout        Reason = "timeout"
	ReasonOverTime       Reason = "over_declared_time"
	ReasonOverMemory     Reason = "over_declared_memory"
)

// RefusalReasons lists the reasons that a refusal or a final state can have.
// Their counters exist from the start of the process, so that alerts can rely
// on them.
var RefusalReasons = []Reason{
	ReasonInvalid,
	ReasonTooLarge,
	ReasonNotFound,
	ReasonKeyConflict,
	ReasonUnknownCustomer,
	ReasonUnknownKey,
	ReasonNotSupported,
	ReasonQueueFull,
	ReasonNeverFits,
	ReasonDeadlineUnmet,
	ReasonNoConfiguration,
	ReasonNoDurableReplica,
	ReasonNoLeader,
	ReasonOwnerUnreachable,
	ReasonOutcomeUnknown,
	ReasonStopping,
	ReasonOverloaded,
	ReasonVersionConflict,
	ReasonPublishKeyReuse,
	ReasonGuaranteesTooBig,
	ReasonStaleFence,
	ReasonStaleTerm,
	ReasonWorkerFull,
	ReasonWorkerLeaving,
	ReasonInternal,
	ReasonMethodNotAllowed,
	ReasonPlacementOutdated,
	ReasonUnknownZone,
	ReasonOvertaken,
	ReasonCancelled,
	ReasonDeadlinePassed,
	ReasonTaskFailed,
	ReasonTooManyFails,
	ReasonCrashesWorkers,
	ReasonOverTime,
	ReasonOverMemory,
}

// RetryReasons lists the reasons for which an operation is retried.
var RetryReasons = []Reason{
	ReasonNoDurableReplica,
	ReasonNoLeader,
	ReasonOwnerUnreachable,
	ReasonCancelled,
	ReasonDeadlinePassed,
	ReasonTaskFailed,
	ReasonWorkerLost,
	ReasonReserveFailed,
	ReasonStartFailed,
	ReasonReclaimed,
	ReasonTimeout,
	ReasonOverTime,
	ReasonOverMemory,
}
