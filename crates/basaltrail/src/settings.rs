//! The settings file that the platform hands over.

use basaltrail_core::{Objective, Policy, Settings, Team};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{file}: {why}")]
    File { file: String, why: String },
    #[error("{file}:{line}: {why}")]
    Line { file: String, line: usize, why: String },
}

/// Everything one process is set to.
#[derive(Debug)]
pub struct Process {
    pub core: Settings,
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    pub max_connections: usize,
    /// Where operators ask, if they may.
    pub administration: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct File {
    node_name: String,
    zone: String,
    listen: String,
    peer_listen: String,
    #[serde(default)]
    members: Vec<Member>,
    endpoints: Endpoints,
    params: Params,
}

#[derive(Deserialize)]
struct Member {
    #[serde(default)]
    zone: String,
    endpoint: String,
}

#[derive(Deserialize)]
struct Endpoints {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct Params {
    size: usize,
    #[serde(default)]
    zones: Vec<String>,
    teams: Vec<TeamEntry>,
    #[serde(default)]
    objectives: Vec<ObjectiveEntry>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    resources: Resources,
}

#[derive(Deserialize)]
struct TeamEntry {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct ObjectiveEntry {
    kind: String,
    class: Option<String>,
    times: Option<f64>,
    within_s: Option<f64>,
}

impl ObjectiveEntry {
    /// Kinds that are not about a class's jobs, or not known, ask nothing of placement.
    fn read(&self) -> Option<Objective> {
        let class = self.class.clone()?;
        match self.kind.as_str() {
            "deadline" => Some(Objective::Deadline { class, times: self.times.unwrap_or(1.0) }),
            "finished" => Some(Objective::Finished { class, within_s: self.within_s? }),
            "wait" => Some(Objective::Begun { class, within_s: self.within_s? }),
            _ => None,
        }
    }
}

#[derive(Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: Option<Next>,
}

/// The limits that the state service will have from some moment on; what is missing stays.
#[derive(Deserialize)]
struct Next {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// A value holds the completions of [`basaltrail_core::records::TASKS_PER_SEGMENT`] tasks, a bit each, in
/// hexadecimal digits.
const VALUE_KB_LEAST: f64 =
    basaltrail_core::records::TASKS_PER_SEGMENT as f64 / 4.0 / 1024.0 + 0.25;

#[derive(Deserialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct Resources {
    mem_mb: f64,
    max_connections: usize,
}

pub fn load(path: &Path) -> Result<Process, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::File { file: file.clone(), why: e.to_string() })?;
    parse(&file, &text)
}

pub fn parse(file: &str, text: &str) -> Result<Process, Error> {
    let fail = |why: String| Error::File { file: file.into(), why };
    let f: File = toml::from_str(text).map_err(|e| {
        let why = e.message().replace('\n', " ");
        match e.span() {
            Some(s) => {
                let line = text[..s.start.min(text.len())].matches('\n').count() + 1;
                Error::Line { file: file.into(), line, why }
            }
            None => fail(why),
        }
    })?;
    let addr = |name: &str, a: &str| {
        a.parse::<SocketAddr>().map_err(|_| fail(format!("{name} is not an address: {a:?}")))
    };
    let p = &f.params;
    let positive = |name: &str, x: f64| {
        let ok = x.is_finite() && x > 0.0 && x < 1e9;
        ok.then_some(x).ok_or_else(|| fail(format!("params.{name} must be above 0")))
    };
    let ms = |name: &str, s: f64| positive(name, s).map(|s| (s * 1000.0).max(1.0) as u64);
    let fail_at_team = |name: &str, why: &str| {
        let why = format!("team {name:?} {why}");
        let quoted = format!("name = {name:?}");
        match text.find(&quoted) {
            Some(at) => {
                let line = text[..at].matches('\n').count() + 1;
                Error::Line { file: file.into(), line, why }
            }
            None => fail(why),
        }
    };
    let mut teams = Vec::new();
    for t in &p.teams {
        for x in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
            if !x.is_finite() || x < 0.0 {
                return Err(fail_at_team(&t.name, "has an amount below 0"));
            }
        }
        let below = |max: f64, guaranteed: f64| max > 0.0 && max < guaranteed;
        if below(t.cpus_max, t.cpus) || below(t.gpus_max, t.gpus) {
            return Err(fail_at_team(&t.name, "has a limit below its guarantee"));
        }
        if teams.iter().any(|o: &Team| o.name == t.name) {
            return Err(fail(format!("team {:?} is named twice", t.name)));
        }
        // A limit of 0 is none: read as an amount, it would refuse for good what a guest
        // team submits.
        let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        teams.push(Team {
            name: t.name.clone(),
            cpus: t.cpus,
            cpus_max: limit(t.cpus_max),
            gpus: t.gpus,
            gpus_max: limit(t.gpus_max),
        });
    }
    if teams.is_empty() {
        return Err(fail("params.teams names no team".into()));
    }
    if p.resources.max_connections < 16 {
        return Err(fail("params.resources.max_connections must be 16 or more".into()));
    }
    // Nobody is told when the next limits come: nothing is written that either refuses.
    let (now, next) = (&p.state, p.state.next.as_ref());
    let line_of = |name: &str| {
        let table =
            if name.starts_with("state.next") { "[params.state.next]" } else { "[params.state]" };
        let field = name.rsplit('.').next().unwrap_or(name);
        let from = text.find(table)?;
        let at = from + text[from..].find(&format!("\n{field}"))? + 1;
        Some(text[..at].matches('\n').count() + 1)
    };
    let fail_at = |name: &str, why: &str| match line_of(name) {
        Some(line) => Error::Line { file: file.into(), line, why: format!("params.{name} {why}") },
        None => fail(format!("params.{name} {why}")),
    };
    let least = |field: &str, now: f64, next: Option<f64>, floor: f64| {
        let mut all = vec![(format!("state.{field}"), now)];
        all.extend(next.map(|x| (format!("state.next.{field}"), x)));
        for (name, x) in &all {
            if !(x.is_finite() && *x > 0.0 && *x < 1e9) {
                return Err(fail_at(name, "must be above 0"));
            }
            if *x < floor {
                return Err(fail_at(name, &format!("must be {floor} or more")));
            }
        }
        Ok(all.iter().map(|(_, x)| *x).fold(f64::INFINITY, f64::min))
    };
    let ops = |n: usize| n as f64;
    let state_rps = least("rps", now.rps, next.and_then(|n| n.rps), 0.0)?;
    let write_rps = least("write_rps", now.write_rps, next.and_then(|n| n.write_rps), 0.0)?;
    let value_kb = least("value_kb", now.value_kb, next.and_then(|n| n.value_kb), VALUE_KB_LEAST)?;
    let txn_ops = least("txn_ops", ops(now.txn_ops), next.and_then(|n| n.txn_ops).map(ops), 2.0)?;
    let core = Settings {
        controller: f.node_name,
        zone: f.zone,
        controller_count: p.size.max(f.members.len() + 1),
        zones: p.zones.clone(),
        peer_zones: f.members.iter().map(|m| m.zone.clone()).collect(),
        teams,
        objectives: p.objectives.iter().filter_map(ObjectiveEntry::read).collect(),
        heartbeat_interval_ms: ms("workers.report_s", p.workers.report_s)?,
        lease_ms: ms("workers.lease_s", p.workers.lease_s)?,
        cancel_ms: ms("workers.cancel_s", p.workers.cancel_s)?,
        store_rps: state_rps,
        write_rps,
        value_bytes: (value_kb * 1024.0) as usize,
        transaction_ops: txn_ops as usize,
        cloud_rps: positive("cloud.rps", p.cloud.rps)?,
        list_lag_ms: (p.cloud.list_lag_s.clamp(0.0, 1e6) * 1000.0) as u64,
        memory_mb: positive("resources.mem_mb", p.resources.mem_mb)?,
        max_machines: p.resources.max_connections / 2,
        incarnation: SmallRng::from_os_rng().random(),
        policy: Policy::default(),
    };
    let mut peers = Vec::new();
    for m in &f.members {
        peers.push(addr("members.endpoint", &m.endpoint)?);
    }
    Ok(Process {
        core,
        listen: addr("listen", &f.listen)?,
        peer_listen: addr("peer_listen", &f.peer_listen)?,
        peers,
        state: addr("endpoints.state", &f.endpoints.state)?,
        cloud: addr("endpoints.cloud", &f.endpoints.cloud)?,
        max_connections: p.resources.max_connections,
        administration: None,
    })
}

#[cfg(test)]
#[path = "settings_tests.rs"]
pub mod tests;
