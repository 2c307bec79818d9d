//! Kept traces: text files that tell what goes into one controller and what must
//! come out. `tests/traces/README` says how they are written.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod trace_player;

use trace_player::Trace;

macro_rules! traces {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            Trace::play(stringify!($name), include_str!(concat!("traces/", stringify!($name), ".txt")));
        }
    )*};
}

traces! {
    failover_waits_for_every_machine
    failover_passes_over_free_machines
    failover_passes_over_machines_a_job_may_not_use
    loading_leader_renews_leases_and_stops_ended_jobs
    machine_answered_while_loading_is_waited_for
    late_write_of_an_old_leader
    lost_start
    late_heartbeat
    forget_waits_for_the_record
    cancel_races_done
    outage_longer_than_the_leader_lease
    outage_shorter_than_the_leader_lease
    hung_machine_resumes
    limit_during_failover
    duplicate_in_a_group
    unknown_and_ended_jobs
    registry_before_start
    starts_go_out_with_the_answer
    expired_machine_waits_for_the_registry
    own_earlier_process
    failing_job_backs_off
    cancel_stops_tasks
    leader_without_workers
    long_outage_keeps_the_leader
    leader_with_one_worker_heard
    late_copies_after_takeover
    copy_of_a_machine_that_is_gone
    answers_do_not_arrive
    no_start_after_a_silence
    machine_that_never_takes_the_token
    partitioned_controller_names_nobody
    lease_is_back_before_watch_events
    short_outage_before_watch_events
    watch_that_hangs
    successor_with_stale_jobs
    stop_goes_out_with_every_answer
    rejected_write_rests
    service_runs_until_it_is_cancelled
    service_is_not_done_by_a_record
    service_beyond_the_limit
    replica_of_a_bad_machine_takes_no_other_down
    task_of_an_unread_job_is_not_renewed
    answer_without_the_token_carries_stops
}
