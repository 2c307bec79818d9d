//! Plays the traces in `tests/traces`: text files with the inputs of one controller and the answers
//! that it must give. `tests/traces/README` describes their format.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod trace_player;

use trace_player::TracePlayer;

macro_rules! traces {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            TracePlayer::play(stringify!($name), include_str!(concat!("traces/", stringify!($name), ".txt")));
        }
    )*};
}

traces! {
    follower_tells_which_jobs_run_without_progress
    leader_stores_which_jobs_run
    new_leader_keeps_jobs_running_until_it_knows
    failover_waits_for_every_machine
    failover_does_not_wait_for_empty_machines
    failover_does_not_wait_for_machines_a_job_may_not_use
    loading_leader_renews_leases_and_stops_ended_jobs
    failover_waits_for_machine_answered_while_loading
    failover_waits_for_machine_answered_after_the_registry_was_read
    failover_counts_machine_answered_while_loading_against_the_team_limit
    late_write_of_an_earlier_leader_fails
    lost_start_is_sent_again
    late_heartbeat_is_ignored
    forget_waits_for_the_completion_record
    cancellation_prevails_over_late_completion
    outage_longer_than_the_leader_lease
    outage_shorter_than_the_leader_lease
    hung_machine_returns_with_a_new_agent_epoch
    failover_respects_the_team_limit
    duplicate_submission_does_not_fail_its_batch
    unknown_jobs_are_looked_up_and_ended_jobs_are_remembered
    start_waits_for_the_registry
    freed_machine_gets_new_tasks_in_the_same_answer
    returning_machine_waits_for_the_registry
    leader_record_of_an_earlier_process_is_replaced
    campaign_in_flight_is_not_revoked_by_its_own_controller
    failing_job_backs_off
    cancel_stops_tasks
    leader_without_reachable_workers_steps_down
    leader_resumes_after_a_long_outage
    leader_with_one_reachable_worker_keeps_leading
    late_heartbeats_after_failover_do_not_end_the_wait
    late_heartbeat_of_a_terminated_machine_is_not_adopted
    undelivered_starts_move_to_another_machine
    returning_machine_gets_no_start_before_it_receives_an_answer
    machine_that_never_acknowledges_the_token_expires
    machine_that_never_acknowledges_the_token_while_loading_expires
    partitioned_controller_names_no_leader
    recovered_leader_reads_cancellations_before_it_renews_leases
    starts_wait_for_watch_events_after_a_short_outage
    hung_watch_is_replaced
    new_leader_reads_cancellations_before_it_starts_tasks
    every_answer_repeats_the_stop
    rejected_write_does_not_block_other_writes
    service_runs_until_it_is_cancelled
    completion_record_does_not_complete_a_service
    service_above_the_team_limit_is_refused
    failing_replica_is_retried_without_back_off_while_another_runs
    task_of_an_unknown_cancelled_job_is_stopped
    answer_before_the_token_is_acknowledged_carries_stops
}
