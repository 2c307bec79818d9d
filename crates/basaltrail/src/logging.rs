//! Writes logs to standard error, one event per line: `LEVEL event=NAME field=value ...`.
//!
//! Only this module converts the core's [`LogEvent`]s to `tracing` fields.

use basaltrail_core::events::{
    AdmissionEvent, FleetUsage, HeartbeatEvent, HeartbeatSummary, HeartbeatVerdict, JobEvent,
    LeadershipEvent, MachineEvent, StoreEvent, RENEWAL_VIOLATION,
};
use basaltrail_core::LogEvent;
use tracing::{debug, error, info, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// Initializes logging at the level of `LOG_LEVEL`: `error`, `info` or `debug`. Any other value is
/// logged as an error and treated as `info`.
pub fn init() {
    let requested_level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match requested_level.as_str() {
        "error" => tracing::Level::ERROR,
        "debug" => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Events of libraries are excluded, since they would outnumber ours at `debug`.
    let filter = Targets::new().with_target("basaltrail", level);
    tracing_subscriber::registry().with(line_layer(std::io::stderr).with_filter(filter)).init();
    if !matches!(requested_level.as_str(), "error" | "info" | "debug") {
        error!(event = %"log_level_unknown", value = ?requested_level, used = %"info");
    }
}

/// Returns the layer that formats log lines: the level first, without time and target.
fn line_layer<S, W>(writer: W) -> impl Layer<S>
where
    S: Subscriber + for<'span> LookupSpan<'span>,
    W: for<'writer> MakeWriter<'writer> + 'static,
{
    tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_ansi(false)
        .without_time()
        .with_target(false)
}

/// Returns whether events of level `debug` are written.
pub fn is_debug() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

/// Writes an event of the core as one log line.
pub fn write(event: &LogEvent) {
    match event {
        LogEvent::Leadership(event) => write_leadership(event),
        LogEvent::Machine(event) => write_machine(event),
        LogEvent::Job(event) => write_job(event),
        LogEvent::Heartbeat(event) => write_heartbeat(event),
        LogEvent::Admission(event) => write_admission(event),
        LogEvent::Store(event) => write_store(event),
    }
}

fn write_leadership(event: &LeadershipEvent) {
    match event {
        LeadershipEvent::Elected { token } => info!(event = %"elected", token = token.0),
        LeadershipEvent::Leading { token, machines, jobs, took_ms, answered_machines } => info!(
            event = %"leading",
            token = token.0,
            machines,
            jobs,
            took_ms,
            answered_machines,
        ),
        LeadershipEvent::Deposed { token } => info!(event = %"deposed", token = token.0),
        LeadershipEvent::Resigned { reason } => {
            info!(event = %"resigned", reason = %reason.name());
        }
        LeadershipEvent::LeaderSeen { leader, term, revision } => {
            let leader = leader.as_deref().unwrap_or("none");
            info!(event = %"leader_seen", leader = %leader, term = term.0, revision = revision.0);
        }
        LeadershipEvent::ProgressMissing { leader, silent_ms } => {
            info!(event = %"progress_missing", leader = %leader, silent_ms);
        }
        LeadershipEvent::ProgressReceived => info!(event = %"progress_received"),
        LeadershipEvent::FleetUsage(usage) => write_fleet_usage(usage),
    }
}

fn write_fleet_usage(usage: &FleetUsage) {
    let teams = usage
        .teams
        .iter()
        .map(|team| format!("{}:{}+{}", team.team, team.used_cpus, team.waiting_cpus));
    debug!(
        event = %"round",
        on_demand = usage.on_demand,
        spot = usage.spot,
        down = usage.down,
        assigned_cpus = usage.assigned_cpus,
        fetching_cpus = usage.fetching_cpus,
        running_cpus = usage.running_cpus,
        saving_cpus = usage.saving_cpus,
        waiting_cpus = usage.waiting_cpus,
        teams = %join(teams),
    );
}

fn write_machine(event: &MachineEvent) {
    match event {
        MachineEvent::Adopted { machine } => {
            info!(event = %"machine_adopted", machine = %machine);
        }
        MachineEvent::Up { machine, zone, spot, age_ms } => {
            info!(event = %"machine_up", machine = %machine, zone = %zone, spot, age_ms);
        }
        MachineEvent::ReclaimNotice { machine } => {
            info!(event = %"machine_reclaim_notice", machine = %machine);
        }
        MachineEvent::LeaseExpired { machine, zone, tasks, unrenewed_ms } => info!(
            event = %"machine_lease_expired",
            machine = %machine,
            zone = %zone,
            tasks,
            unrenewed_ms,
        ),
        MachineEvent::Draining { machine, reason } => {
            info!(event = %"machine_draining", machine = %machine, reason = %reason.name());
        }
        MachineEvent::ScaleOut { zone, spot, requested, provisioned } => {
            info!(event = %"scale_out", zone = %zone, spot, requested, provisioned);
        }
        MachineEvent::ScaleIn { machine, reason } => {
            info!(event = %"scale_in", machine = %machine, reason = %reason.name());
        }
        MachineEvent::Discovered { machine } => {
            info!(event = %"machine_discovered", machine = %machine);
        }
        MachineEvent::Gone { machine } => info!(event = %"machine_gone", machine = %machine),
    }
}

fn write_job(event: &JobEvent) {
    match event {
        JobEvent::Cancelled { job } => info!(event = %"job_cancelled", job = %job),
        JobEvent::Completed { job } => info!(event = %"job_completed", job = %job),
        JobEvent::TaskFailed { task, machine, crash_looping, ran_ms } => info!(
            event = %"task_failed",
            job = %task.job,
            task = task.index,
            machine = %machine,
            crash_looping,
            ran_ms,
        ),
        JobEvent::TasksPreempted { tasks } => debug!(event = %"tasks_preempted", tasks),
        JobEvent::Listed { revision, active, took_ms } => {
            info!(event = %"jobs_listed", revision = revision.0, active, took_ms);
        }
        JobEvent::WatchAnswered { revision, events, kind, took_ms } => {
            debug!(event = %"jobs_watch_answered", revision = revision.0, events, kind = ?kind, took_ms);
        }
    }
}

fn write_heartbeat(event: &HeartbeatEvent) {
    match event {
        HeartbeatEvent::RenewalViolation { machine, task } => error!(
            event = %RENEWAL_VIOLATION,
            machine = %machine,
            job = %task.job,
            task = task.index,
        ),
        HeartbeatEvent::Answered { machine, agent_epoch, sequence, token, tasks, verdict } => {
            let verdict = match verdict {
                HeartbeatVerdict::Renewed { token, commands } => {
                    format!("renewed answer_token={} commands={commands}", token.0)
                }
                HeartbeatVerdict::Refused(refusal) => format!("refused reason={}", refusal.name()),
            };
            debug!(
                event = %"heartbeat_answered",
                machine = %machine,
                agent_epoch = agent_epoch.0,
                sequence,
                token = token.0,
                tasks,
                verdict = %verdict,
            );
        }
        HeartbeatEvent::Summary(summary) => write_heartbeat_summary(summary),
    }
}

fn write_heartbeat_summary(summary: &HeartbeatSummary) {
    let counters = &summary.counters;
    let refused =
        counters.refused.iter().map(|(refusal, count)| format!("{}:{count}", refusal.name()));
    info!(
        event = %"heartbeat_summary",
        token = summary.token.0,
        holds_valid_lease = summary.holds_valid_lease,
        jobs_revision = summary.jobs_revision.0,
        jobs_age_ms = summary.jobs_age_ms,
        renewed = counters.renewed,
        starts = counters.starts,
        stops = counters.stops,
        forgets = counters.forgets,
        violations = counters.violations,
        refused = %join(refused),
    );
}

fn write_admission(event: &AdmissionEvent) {
    match event {
        AdmissionEvent::Mode { quotas_enforced } => {
            info!(event = %"admission_mode", quotas_bind = quotas_enforced);
        }
        AdmissionEvent::QuotaPlanned { team, controller, classes } => {
            let classes = classes
                .iter()
                .map(|quota| format!("{}:{}/{:.0}", quota.class, quota.jobs, quota.work));
            info!(
                event = %"quota_planned",
                team = %team,
                controller = %controller,
                classes = %join(classes),
            );
        }
        AdmissionEvent::Refused { reasons } => {
            let reasons =
                reasons.iter().map(|(reason, count)| format!("{}:{count}", reason.name()));
            info!(event = %"submissions_refused", reasons = %join(reasons));
        }
        AdmissionEvent::QuotaUnreadable { key } => {
            error!(event = %"quota_unreadable", key = %key);
        }
    }
}

fn write_store(event: &StoreEvent) {
    match event {
        StoreEvent::JobUnreadable { job } => error!(event = %"job_unreadable", job = %job),
        StoreEvent::RegistryUnreadable { key } => {
            error!(event = %"machine_registry_unreadable", key = %key);
        }
        StoreEvent::WriteRejected { keys } => error!(event = %"write_rejected", keys = %keys),
    }
}

/// Joins a list with commas into the value of one field.
fn join(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(",")
}

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;
