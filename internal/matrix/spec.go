package matrix

// The rows of the fault matrix.
const (
	killed     Fault = "process killed"
	frozen     Fault = "frozen and resumed"
	cut        Fault = "connection cut"
	silent     Fault = "connection silent for good"
	late       Fault = "message late"
	repeated   Fault = "repeated or out of order"
	logSlow    Fault = "log slow"
	logOut     Fault = "log out"
	answerLost Fault = "append's answer lost"
	expired    Fault = "log record expired"
	lapsed     Fault = "lease lapsed while paused"
	racing     Fault = "operators racing"
	slow       Fault = "server slow"
	cold       Fault = "cold"
	shedding   Fault = "shedding"
	leaving    Fault = "leaving"
	surge      Fault = "demand surge"
	two        Fault = "two faults at once"
)

// The columns of the fault matrix.
const (
	accepted   Step = "accepted"
	admitted   Step = "admitted"
	appended   Step = "record appended"
	readBack   Step = "read back"
	handedOver Step = "handed over"
	run        Step = "run"
	answered   Step = "answered"
	recorded   Step = "recorded"
	announce   Step = "announce"
	leave      Step = "leave"
	publish    Step = "publish"
	fold       Step = "fold"
	carryOn    Step = "carry on"
)

// Why a fault cannot happen at a step.
const (
	noRecord   Reason = "noRecord"
	onlyReads  Reason = "onlyReads"
	noLease    Reason = "noLease"
	snapshot   Reason = "snapshot"
	notMembers Reason = "notMembers"
	notServer  Reason = "notServer"
	notBefore  Reason = "notBefore"
	logsOwn    Reason = "logsOwn"
	operator   Reason = "operator"
)

// by returns a cell that is covered by the tests.
func by(tests ...[]Test) (c Cell) {
	for _, t := range tests {
		c.Tests = append(c.Tests, t...)
	}
	return c
}

// never returns a cell of a fault that cannot happen.
func never(why Reason) Cell { return Cell{Never: why} }

// in returns the named tests of one package.
func in(pkg string, names ...string) (all []Test) {
	for _, n := range names {
		all = append(all, Test{pkg, n})
	}
	return all
}

// Faults returns the specification of the fault matrix.
func Faults() *Spec {
	return &Spec{
		Faults: []Fault{
			killed, frozen, cut, silent, late, repeated, logSlow, logOut, answerLost, expired, lapsed, racing, slow, cold,
			shedding, leaving, surge, two,
		},
		Steps: []Step{
			accepted, admitted, appended, readBack, handedOver, run, answered, recorded, announce, leave, publish, fold, carryOn,
		},
		Meaning: map[Step]string{
			accepted:   "the entry takes a request from its caller",
			admitted:   "the gate of a node admits, queues or refuses the request",
			appended:   "the record Started of at-most-once work is appended",
			readBack:   "that record is read back as the winner of its key",
			handedOver: "a node hands a call to another node, and retries it",
			run:        "the backend server runs the request",
			answered:   "the answer reaches the caller that asked",
			recorded:   "Done, Void or the refusal is written to the log",
			announce:   "a server's membership reaches the others",
			leave:      "a server's leaving reaches the others",
			publish:    "an operator publishes a configuration and is told the verdict",
			fold:       "a node folds what was accepted and puts it in force",
			carryOn:    "the accepted configuration is written again before its record expires",
		},
		Reasons: map[Reason]string{
			noRecord:   "No record is appended or read at this step, and it waits for none.",
			onlyReads:  "This step only reads the log; a lost answer is that of an append.",
			noLease:    "A lease covers at-most-once work from the append of its record to the start of its run; nothing else holds one.",
			snapshot:   "A request reads one immutable snapshot of the rules; which of two publishes wins is decided before the snapshot is swapped.",
			notMembers: "Membership does not depend on the configuration.",
			notServer:  "The backend server takes no part in this step.",
			notBefore:  "The backend server is called only after the record was read back.",
			logsOwn:    "This step uses only the connection to the log, whose loss is the rows of the log.",
			operator:   "Operators publish by the command line, which is no part of a server.",
		},
		Cells:        cells(),
		Requirements: requirements(),
	}
}

// Packages of the tests.
const (
	pkgAdmit  = "pkg/admit"
	pkgAudit  = "pkg/audit"
	pkgFleet  = "pkg/fleet"
	pkgLimit  = "pkg/limit"
	pkgOnce   = "pkg/once"
	pkgOrder  = "pkg/order"
	pkgRetry  = "pkg/retry"
	pkgRoute  = "pkg/route"
	pkgLog    = "internal/applog"
	pkgConfig = "internal/config"
	pkgFlush  = "internal/flush"
	pkgKeeper = "internal/keeper"
	pkgPeer   = "internal/peer"
	pkgCmd    = "cmd/briarworks"
	pkgFront  = "internal/front"
	pkgNode   = "internal/node"
	pkgPolicy = "internal/policy"
	pkgRelay  = "internal/relay"
	pkgServer = "internal/server"
	pkgSystem = "internal/system"
)

func cells() map[Fault]map[Step]Cell {
	model := in(pkgOnce, "TestOnce") // holders that are paused and restarted, lost and repeated appends
	folds := in(pkgOrder, "TestFoldsAgree")
	return map[Fault]map[Step]Cell{
		killed: {
			appended:   by(model),
			readBack:   by(model, in(pkgOnce, "TestBegin/own_last_incarnation")),
			handedOver: by(in(pkgPeer, "TestCallOverFailures/peer_gone_while_it_runs", "TestCallOverFailures/peer_started_anew_meantime"), in(pkgSystem, "TestSystem/node_is_killed")),
			run:        by(model, in(pkgOnce, "TestBegin/holder_gone", "TestBegin/holder_restarted"), in(pkgKeeper, "TestRestart"), in(pkgSystem, "TestSystem/node_is_killed")),
			recorded:   by(in(pkgAudit, "TestGaps/killed,_seen_by_a_peer", "TestGaps/killed,_unseen"), in(pkgFlush, "TestWitness")),
			announce:   by(in(pkgFleet, "TestState/not_announced_again")),
			fold:       by(folds, in(pkgNode, "TestFleet/configuration_after_a_restart"), in(pkgPolicy, "TestSettle")),
			leave:      by(in(pkgSystem, "TestSystem/node_is_killed")),
			accepted:   by(in(pkgSystem, "TestSystem/entry_is_killed")),
			publish:    by(in(pkgConfig, "TestPublish/killed_after_the_write")),
			answered:   by(in(pkgSystem, "TestSystem/entry_is_killed")),
			carryOn:    by(in(pkgOrder, "TestCarryIsWrittenInTimeByFew/half_are_gone")),
		},
		frozen: {
			appended:   by(model),
			readBack:   by(model, in(pkgOnce, "TestLease")),
			handedOver: by(in(pkgPeer, "TestFailedDialServesAll"), in(pkgSystem, "TestSystem/node_freezes")),
			run:        by(in(pkgSystem, "TestSystem/node_freezes")),
			answered:   by(in(pkgSystem, "TestSystem/node_freezes")),
			accepted:   by(in(pkgSystem, "TestSystem/node_freezes_while_the_fleet_changes")),
			announce:   by(in(pkgSystem, "TestSystem/node_freezes_while_the_fleet_changes"), in(pkgFleet, "TestState/announced_again_after_it_expired")),
			leave:      by(in(pkgSystem, "TestSystem/node_freezes_as_it_leaves", "TestSystem/node_freezes_while_the_fleet_changes")),
			publish:    by(in(pkgConfig, "TestPublish/another_came_first", "TestPublish/frozen_past_its_patience")),
			fold:       by(in(pkgSystem, "TestSystem/node_freezes_while_the_fleet_changes"), folds),
			carryOn:    by(in(pkgOrder, "TestCarryIsWrittenInTimeByFew/half_are_gone"), folds),
		},
		cut: {
			appended:   never(logsOwn),
			readBack:   never(logsOwn),
			handedOver: by(in(pkgPeer, "TestCallOverFailures/cut_before_the_call"), in(pkgNode, "TestFleet/retries_with_cuts_and_shedding")),
			run:        by(in(pkgPeer, "TestCallOverFailures/cut_while_running")),
			answered:   by(in(pkgPeer, "TestCallOverFailures/cut_while_running"), in(pkgNode, "TestFleet/retries_with_cuts_and_shedding")),
			recorded:   never(logsOwn),
			publish:    never(logsOwn),
			carryOn:    never(logsOwn),
			accepted:   by(in(pkgFront, "TestBadInput/body_shorter_than_announced"), in(pkgRelay, "TestJoinCancel")),
			fold:       by(in(pkgNode, "TestTrouble/connections_cut", "TestFleet/configuration_when_the_seed_is_gone")),
			admitted:   by(in(pkgAdmit, "TestGateModel")),
			announce:   by(in(pkgNode, "TestTrouble/connections_cut")),
			leave:      by(in(pkgNode, "TestTrouble/connections_cut")),
		},
		silent: {
			appended:   never(logsOwn),
			readBack:   never(logsOwn),
			handedOver: by(in(pkgPeer, "TestCallOverFailures/call_swallowed"), in(pkgNode, "TestFleet/retries_with_silent_connections")),
			run:        by(in(pkgPeer, "TestCallOverFailures/silent_while_running")),
			answered:   by(in(pkgPeer, "TestCallOverFailures/answer_swallowed"), in(pkgNode, "TestFleet/retries_with_silent_connections")),
			recorded:   never(logsOwn),
			publish:    never(logsOwn),
			carryOn:    never(logsOwn),
			announce:   by(in(pkgNode, "TestTrouble/connections_silent")),
			leave:      by(in(pkgNode, "TestTrouble/connections_silent")),
			fold:       by(in(pkgNode, "TestTrouble/connections_silent")),
			accepted:   by(in(pkgFront, "TestBadInput/body_that_stalls", "TestBadInput/chunked_body_that_stalls")),
		},
		late: {
			appended:   by(in(pkgLog, "TestLateEffect"), in(pkgKeeper, "TestGiveUp")),
			handedOver: by(in(pkgPeer, "TestBarredCallNeverRuns")),
			announce:   by(in(pkgFleet, "TestApplyOrder", "TestState/expired_announcement_from_a_peer")),
			leave:      by(in(pkgFleet, "TestState/left_before_its_announcement_arrives", "TestState/leave_mark_of_a_lower_incarnation")),
			fold:       by(folds),
			carryOn:    by(folds, in(pkgOrder, "TestVerdicts/carry_that_is_too_old_for_the_trimmed_log")),
			answered:   by(in(pkgNode, "TestFleet/answers_late_and_out_of_order")),
			accepted:   by(in(pkgFront, "TestBadInput/body_that_stalls")),
			admitted:   by(in(pkgAdmit, "TestGateModel")),
			readBack:   by(in(pkgKeeper, "TestGiveUp/append_slow", "TestGiveUp/log_slow")),
			run:        by(in(pkgServer, "TestRunNothingSent/deadline_passed")),
			publish:    by(in(pkgConfig, "TestPublish/written_late")),
			recorded:   by(in(pkgKeeper, "TestDoOnce/records_late")),
		},
		repeated: {
			appended:   by(model, in(pkgLog, "TestTail")),
			readBack:   by(model),
			run:        by(in(pkgKeeper, "TestDoOnce", "TestRunning")),
			answered:   by(in(pkgKeeper, "TestDoOnce"), in(pkgNode, "TestFleet/answers_late_and_out_of_order")),
			announce:   by(in(pkgFleet, "TestJoinLaws", "TestApplyOrder")),
			leave:      by(in(pkgFleet, "TestJoinLaws", "TestApplyOrder", "TestLeaveDigest")),
			publish:    by(in(pkgOrder, "TestVerdicts/repeat_of_an_accepted_id")),
			fold:       by(folds, in(pkgConfig, "TestFeed/whole", "TestFeed/trimmed")),
			carryOn:    by(folds, in(pkgOrder, "TestVerdicts/carry_that_is_written_twice")),
			accepted:   by(in(pkgRelay, "TestJoin/same_request", "TestJoin/at-most-once_kind", "TestJoinRace")),
			admitted:   by(in(pkgAdmit, "TestRepeats")),
			handedOver: by(in(pkgPeer, "TestBarredCallNeverRuns")),
			recorded:   by(in(pkgAudit, "TestGaps/complete", "TestGaps/batch_lost", "TestConservation")),
		},
		logSlow: {
			appended:   by(in(pkgLog, "TestAppend/slow_within_bounds"), in(pkgKeeper, "TestGiveUp")),
			accepted:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_slow")),
			admitted:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_slow")),
			handedOver: by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_slow")),
			run:        by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_slow")),
			answered:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_slow")),
			readBack:   by(in(pkgKeeper, "TestGiveUp/log_slow")),
			recorded:   by(in(pkgFlush, "TestRun/slow")),
			announce:   by(in(pkgNode, "TestTrouble/log_slow")),
			leave:      by(in(pkgNode, "TestTrouble/log_slow")),
			publish:    by(in(pkgConfig, "TestPublish/log_slow"), in(pkgNode, "TestTrouble/log_slow")),
			fold:       by(in(pkgNode, "TestTrouble/log_slow")),
			carryOn:    by(in(pkgNode, "TestTrouble/log_slow"), in(pkgOrder, "TestCarryIsWrittenInTimeByFew/log_slow")),
		},
		logOut: {
			appended:   by(in(pkgLog, "TestAppend/down", "TestAppend/connection_closed"), in(pkgKeeper, "TestOutcome/log_down"), in(pkgOnce, "TestBegin/log_down")),
			recorded:   by(in(pkgFlush, "TestRun/out", "TestRun/out_at_first")),
			publish:    by(in(pkgConfig, "TestPublish/not_written"), in(pkgCmd, "TestPublishWithoutLog")),
			accepted:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_out"), in(pkgSystem, "TestSystem/log_stops")),
			admitted:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_out")),
			handedOver: by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_out"), in(pkgSystem, "TestSystem/log_stops")),
			run:        by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_out"), in(pkgSystem, "TestSystem/log_stops")),
			answered:   by(in(pkgNode, "TestFleet/ordinary_work_with_the_log_out"), in(pkgSystem, "TestSystem/log_stops")),
			announce:   by(in(pkgNode, "TestTrouble/log_out"), in(pkgNode, "TestFleet/start_with_the_log_out"), in(pkgSystem, "TestSystem/node_starts_by_a_seed")),
			leave:      by(in(pkgNode, "TestTrouble/log_out"), in(pkgNode, "TestFleet/leave_with_the_log_out")),
			fold:       by(in(pkgNode, "TestFleet/configuration_without_the_log")),
			carryOn:    by(in(pkgNode, "TestTrouble/log_out"), in(pkgOrder, "TestCarryIsWrittenInTimeByFew/log_was_out")),
			readBack:   by(in(pkgKeeper, "TestGiveUp/log_out_after_the_write")),
		},
		answerLost: {
			accepted:   never(noRecord),
			admitted:   never(noRecord),
			appended:   by(model, in(pkgLog, "TestAppend/answer_lost", "TestAppendAgain"), in(pkgKeeper, "TestDoOnce")),
			readBack:   by(in(pkgKeeper, "TestDoOnce")),
			handedOver: never(noRecord),
			run:        by(in(pkgKeeper, "TestDoOnce")),
			answered:   by(in(pkgKeeper, "TestDoOnce")),
			recorded:   by(in(pkgFlush, "TestRun/answers_lost"), in(pkgKeeper, "TestDoOnce")),
			publish:    by(in(pkgNode, "TestTrouble/answers_lost"), in(pkgConfig, "TestPublish/answer_lost_after_the_write", "TestPublish/unknown,_but_written", "TestPublish/unknown,_and_not_found")),
			fold:       never(onlyReads),
			announce:   by(in(pkgNode, "TestTrouble/answers_lost")),
			leave:      by(in(pkgNode, "TestTrouble/answers_lost")),
			carryOn:    by(in(pkgNode, "TestTrouble/answers_lost"), in(pkgOrder, "TestVerdicts/carry_that_is_written_twice")),
		},
		expired: {
			accepted:   never(noRecord),
			admitted:   never(noRecord),
			appended:   by(in(pkgOnce, "TestBegin/past_retention")),
			readBack:   by(model),
			handedOver: never(noRecord),
			run:        never(noRecord),
			answered:   never(noRecord),
			recorded:   by(in(pkgAudit, "TestGaps/trimmed")),
			announce:   by(in(pkgFleet, "TestState/not_announced_again", "TestState/announced_again", "TestState/expired_announcement_from_a_peer")),
			leave:      by(in(pkgFleet, "TestState/leave_mark_expires", "TestState/leave_mark_outlives_the_announcement")),
			publish:    by(in(pkgConfig, "TestPublishOnATrimmedLog")),
			fold:       by(folds, in(pkgConfig, "TestFeed/trimmed"), in(pkgOrder, "TestVerdicts/trimmed_log_decides_at_a_carry", "TestUndecidedIsBounded")),
			carryOn:    by(in(pkgOrder, "TestCarryIsWrittenInTimeByFew")),
		},
		lapsed: {
			accepted:   never(noLease),
			admitted:   by(in(pkgRelay, "TestLeaseAtTheServer/lease_over")),
			appended:   by(model),
			readBack:   by(model, in(pkgOnce, "TestLease")),
			handedOver: never(noLease),
			run:        by(in(pkgOnce, "TestLease"), in(pkgKeeper, "TestOutcome/lease_over"), in(pkgRelay, "TestLeaseAtTheServer/lease_over")),
			answered:   never(noLease),
			recorded:   by(in(pkgKeeper, "TestOutcome/lease_over")),
			announce:   never(noLease),
			leave:      never(noLease),
			publish:    never(noLease),
			fold:       never(noLease),
			carryOn:    never(noLease),
		},
		racing: {
			accepted:   never(snapshot),
			admitted:   never(snapshot),
			appended:   never(snapshot),
			readBack:   never(snapshot),
			handedOver: never(snapshot),
			run:        never(snapshot),
			answered:   never(snapshot),
			recorded:   never(snapshot),
			announce:   never(notMembers),
			leave:      never(notMembers),
			publish: by(in(pkgConfig, "TestPublish/another_came_first", "TestPublish/stale_base"),
				in(pkgOrder, "TestVerdicts/first_wins", "TestVerdicts/base_of_the_future")),
			fold:    by(folds),
			carryOn: by(folds),
		},
		slow: {
			admitted:   by(in(pkgAdmit, "TestChain/slow_service"), in(pkgLimit, "TestLimiter/slow_is_no_reason")),
			appended:   never(notBefore),
			readBack:   never(notBefore),
			handedOver: by(in(pkgRoute, "TestEject/becomes_slow", "TestEject/much_slower_than_the_others", "TestEject/slower,_but_not_slow")),
			announce:   never(notServer),
			publish:    never(operator),
			fold:       never(notServer),
			carryOn:    never(notServer),
			run:        by(in(pkgServer, "TestRunFaults/never_answers", "TestRunFaults/stalls_within_the_answer")),
			answered:   by(in(pkgFront, "TestBackendFault/never_answers", "TestBackendFault/stalls_within_the_answer")),
			leave:      by(in(pkgNode, "TestFleet/stop_of_an_entry_with_work_in_flight"), in(pkgSystem, "TestSystem/node_stops_during_load")),
			recorded:   by(in(pkgKeeper, "TestOutcome/too_slow")),
		},
		cold: {
			admitted:   by(in(pkgLimit, "TestLimiter/cold", "TestLimiter/cold_and_crowded")),
			appended:   never(notBefore),
			readBack:   never(notBefore),
			handedOver: by(in(pkgRoute, "TestStart", "TestReturn")),
			announce:   never(notServer),
			leave:      never(notServer),
			publish:    never(operator),
			fold:       never(notServer),
			carryOn:    never(notServer),
			run:        by(in(pkgSystem, "TestSystem/node_starts_by_a_seed"), in(pkgNode, "TestFleet/start_with_the_log_out")),
			answered:   by(in(pkgSystem, "TestSystem/node_starts_by_a_seed"), in(pkgNode, "TestFleet/start_with_the_log_out")),
		},
		shedding: {
			admitted:   by(in(pkgLimit, "TestLimiter/sheds_and_recovers")),
			appended:   never(notBefore),
			readBack:   never(notBefore),
			handedOver: by(in(pkgRoute, "TestEject/refusals_for_load"), in(pkgRetry, "TestPoolTree", "TestDecide/not_run,_plain"), in(pkgNode, "TestFleet/retries_with_cuts_and_shedding", "TestFleet/retries_when_the_entry_is_full")),
			run:        by(in(pkgKeeper, "TestOutcome/server_shed"), in(pkgServer, "TestRunFaults/shed", "TestRunFaults/short_proof_of_not_run")),
			recorded:   by(in(pkgKeeper, "TestOutcome/server_shed")),
			announce:   never(notServer),
			leave:      never(notServer),
			publish:    never(operator),
			fold:       never(notServer),
			carryOn:    never(notServer),
			answered:   by(in(pkgNode, "TestFleet/retries_with_cuts_and_shedding")),
		},
		leaving: {
			appended:   by(in(pkgKeeper, "TestRestart", "TestStop")),
			announce:   by(in(pkgFleet, "TestState/restarted_after_leaving", "TestState/left")),
			publish:    never(operator),
			accepted:   by(in(pkgNode, "TestFleet/stop_of_an_entry_with_work_in_flight"), in(pkgRelay, "TestJoinCancel")),
			handedOver: by(in(pkgNode, "TestFleet/leave_with_the_log_out"), in(pkgSystem, "TestSystem/node_stops_during_load")),
			run:        by(in(pkgNode, "TestFleet/stop_of_an_entry_with_work_in_flight"), in(pkgSystem, "TestSystem/node_stops_during_load")),
			answered:   by(in(pkgNode, "TestFleet/stop_of_an_entry_with_work_in_flight"), in(pkgSystem, "TestSystem/node_stops_during_load")),
			recorded:   by(in(pkgKeeper, "TestStop"), in(pkgFlush, "TestRun/well")),
			leave:      by(in(pkgNode, "TestFleet/leave_with_the_log_out"), in(pkgSystem, "TestSystem/node_stops_during_load")),
			readBack:   by(in(pkgKeeper, "TestStopBeforeReadBack")),
			fold:       by(in(pkgNode, "TestTrouble/log_slow", "TestTrouble/connections_cut", "TestTrouble/surge")),
			carryOn:    by(in(pkgOrder, "TestCarryIsWrittenInTimeByFew/half_are_gone")),
			admitted:   by(in(pkgRelay, "TestDrainWithQueue")),
		},
		surge: {
			accepted: by(in(pkgAdmit, "TestEntryCallers"), in(pkgRelay, "TestBound"), in(pkgFront, "TestConnectionBound")),
			admitted: by(in(pkgAdmit, "TestChain/flood_of_equal_rank", "TestChain/flood_of_the_least_urgent",
				"TestChain/flood_of_the_most_urgent", "TestChain/flood_of_requests_with_four_calls", "TestChain/flood_held_back_elsewhere",
				"TestGateRaces")),
			appended:   by(in(pkgLog, "TestGroups", "TestAppend/rate_exceeded"), in(pkgKeeper, "TestOutcome/log_refuses"), in(pkgOnce, "TestBegin/too_many_keys")),
			handedOver: by(in(pkgNode, "TestFleet/retries_when_the_entry_is_full"), in(pkgRetry, "TestRatio"), in(pkgRoute, "TestPick/all_full", "TestPick/own_data_centre_full")),
			recorded:   by(in(pkgAudit, "TestProtectedLast", "TestConservation")),
			fold:       by(in(pkgNode, "TestTrouble/surge"), in(pkgOrder, "TestUndecidedIsBounded")),
			announce:   by(in(pkgNode, "TestMassStart", "TestFleet/mass_start")),
			run:        by(in(pkgNode, "TestTrouble/surge")),
			answered:   by(in(pkgNode, "TestTrouble/surge")),
			leave:      by(in(pkgNode, "TestTrouble/surge")),
			publish:    by(in(pkgNode, "TestTrouble/surge")),
			carryOn:    by(in(pkgNode, "TestTrouble/surge")),
			readBack:   by(in(pkgKeeper, "TestDoOnce/surge")),
		},
		two: {
			appended:   by(model),
			readBack:   by(model),
			run:        by(model, in(pkgSystem, "TestSystem/node_is_killed_with_the_log_out")),
			fold:       by(folds, in(pkgNode, "TestTrouble/surge_and_log_slow", "TestTrouble/connections_silent,_log_slow", "TestTrouble/connections_cut_and_log_out", "TestTrouble/surge,_cut_connections,_no_log")),
			carryOn:    by(folds, in(pkgOrder, "TestCarryIsWrittenInTimeByFew/log_was_out_and_half_are_gone"), in(pkgNode, "TestTrouble/surge_and_log_slow")),
			handedOver: by(in(pkgNode, "TestFleet/retries_with_cuts_and_shedding", "TestFleet/retries_when_the_deep_service_is_gone")),
			leave:      by(in(pkgNode, "TestTrouble/connections_silent,_log_slow", "TestTrouble/connections_cut_and_log_out", "TestTrouble/surge,_cut_connections,_no_log", "TestFleet/leave_with_the_log_out")),
			accepted:   by(in(pkgSystem, "TestSystem/node_is_killed_with_the_log_out"), in(pkgNode, "TestTrouble/surge_and_log_slow")),
			admitted:   by(in(pkgAdmit, "TestChain/flood_and_a_slow_service", "TestChain/flood_and_a_server_gone")),
			answered:   by(in(pkgSystem, "TestSystem/node_is_killed_with_the_log_out"), in(pkgNode, "TestFleet/retries_with_cuts_and_shedding")),
			recorded:   by(in(pkgFlush, "TestRun/out,_then_answers_lost"), in(pkgKeeper, "TestRestart/answers_lost")),
			announce:   by(in(pkgNode, "TestTrouble/connections_cut_and_log_out", "TestTrouble/connections_silent,_log_slow", "TestTrouble/connections_cut,_answers_lost")),
			publish:    by(in(pkgConfig, "TestPublish/another_came_first,_answer_lost"), in(pkgNode, "TestTrouble/connections_cut,_answers_lost", "TestTrouble/surge_and_log_slow")),
		},
	}
}

func requirements() []Requirement {
	return []Requirement{
		{"R1", "Retries of one request, counted over the whole chain, stay within a fixed bound", map[Fault][]Step{
			cut: {handedOver}, silent: {handedOver}, shedding: {handedOver}, surge: {handedOver}, two: {handedOver},
		}},
		{"R2", "Under overload the protected kinds are shed after everything else", map[Fault][]Step{
			surge: {accepted, admitted}, slow: {admitted}, two: {admitted},
		}},
		{"R3", "Every caller receives the whole answer to its own request, also when answers are late or out of order", map[Fault][]Step{
			cut: {answered}, silent: {answered}, late: {answered}, repeated: {answered}, killed: {answered}, shedding: {answered},
			surge: {answered}, two: {answered},
		}},
		{"R4", "When a caller is told that a request was not run, it was not run", map[Fault][]Step{
			killed: {handedOver, answered}, cut: {handedOver, run}, silent: {handedOver, run}, late: {appended, readBack, handedOver},
			logOut: {appended}, lapsed: {run}, shedding: {run}, two: {run},
		}},
		{"R5", "A credit claim or a name approval runs at most once", map[Fault][]Step{
			killed: {appended, readBack, run}, frozen: {appended, readBack}, repeated: {appended, readBack, run},
			answerLost: {appended, readBack, run}, expired: {appended, readBack}, lapsed: {appended, readBack, run},
			logOut: {appended, readBack}, two: {appended, readBack, run, recorded}, late: {appended, readBack}, leaving: {readBack},
		}},
		{"R6", "A server leaving the fleet receives no new work after a few seconds (3 s)", map[Fault][]Step{
			leaving: {handedOver, leave}, late: {leave}, logOut: {leave}, logSlow: {leave}, killed: {leave}, frozen: {leave},
			cut: {leave}, silent: {leave}, answerLost: {leave}, surge: {leave}, two: {leave},
		}},
		{"R7", "A planned stop is a graceful shutdown: it interrupts no request in flight", map[Fault][]Step{
			leaving: {accepted, admitted, readBack, run, answered, recorded},
		}},
		{"R8", "An accepted configuration is in force everywhere within seconds (10 s) and never reverts", map[Fault][]Step{
			killed: {fold, carryOn}, frozen: {publish, fold, carryOn}, cut: {fold}, silent: {fold}, late: {publish, fold, carryOn},
			repeated: {fold, carryOn}, logSlow: {publish, fold, carryOn}, logOut: {fold, carryOn}, answerLost: {publish, carryOn},
			expired: {fold, carryOn}, leaving: {fold, carryOn}, surge: {publish, fold, carryOn},
			racing: {publish, fold, carryOn}, two: {publish, fold, carryOn},
		}},
	}
}
