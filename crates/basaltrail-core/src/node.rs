//! One controller: the state machine that ties the parts together.

use crate::budget::Class;
use crate::calls::{Calls, Purpose};
use crate::election::Election;
use crate::frontdoor::{impossible, Ask, FrontDoor, Kind, NewJob};
use crate::io::*;
use crate::jobs::Table;
use crate::model::*;
use crate::records::*;
use crate::reign::{Ctx, Reign};
use crate::settings::Settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

/// Of the limits, what we use: the rest is for calls that were counted late.
const RATE_USED: f64 = 0.9;
/// Part of the rate that the leader has; the others share the rest.
const LEADER_PART: f64 = 0.5;
/// Requests that may wait at once, per megabyte.
const WAITING_PER_MB: f64 = 40.0;
/// Active jobs and remembered ends, per megabyte.
const ACTIVE_PER_MB: f64 = 100.0;
const ENDS_PER_MB: f64 = 1000.0;

pub struct Node {
    cfg: Arc<Settings>,
    now: Ms,
    wall: WallMs,
    rng: SmallRng,
    calls: Calls,
    election: Election,
    table: Table,
    door: FrontDoor,
    types: Vec<MachineType>,
    types_kept: bool,
    types_in_flight: bool,
    types_not_before: Ms,
    types_stamp: u64,
    types_dirty: bool,
    jobs_loaded: bool,
    jobs_revision: Option<u64>,
    jobs_in_flight: bool,
    jobs_not_before: Ms,
    jobs_list_revision: Option<u64>,
    reign: Option<Reign>,
    state_ok: Ms,
    /// When a peer last told of progress, as only a leader does.
    leader_heard: Ms,
    leads: Option<bool>,
}

impl Node {
    pub fn new(cfg: Arc<Settings>, seed: u64) -> Self {
        let ttl = cfg.leader_lease_ms();
        Node {
            now: 0,
            wall: 0,
            rng: SmallRng::seed_from_u64(seed),
            calls: Calls::default(),
            election: Election::new(&cfg.node, cfg.incarnation, ttl, cfg.at_most(ttl)),
            table: Table::new((cfg.memory_mb * ENDS_PER_MB).max(1000.0) as usize),
            door: FrontDoor::default(),
            types: Vec::new(),
            types_kept: false,
            types_in_flight: false,
            types_not_before: 0,
            types_stamp: 0,
            types_dirty: false,
            jobs_loaded: false,
            jobs_revision: None,
            jobs_in_flight: false,
            jobs_not_before: 0,
            jobs_list_revision: None,
            reign: None,
            state_ok: 0,
            leader_heard: 0,
            leads: None,
            cfg,
        }
    }

    /// Whether this node can take requests.
    pub fn ready(&self) -> bool {
        // In an outage nobody does better: the users stay where they are. A node that still
        // hears a leader, which is one only by the state service, has lost it alone, and
        // the others serve its users.
        let leader_heard = self.now <= self.leader_heard + self.cfg.report_ms * 2;
        let patience = match leader_heard && !self.leading() {
            true => self.cfg.leader_lease_ms(),
            false => self.cfg.lease_ms,
        };
        self.jobs_loaded && !self.types.is_empty() && self.now <= self.state_ok + patience
    }

    pub fn leading(&self) -> bool {
        self.reign.as_ref().is_some_and(Reign::loaded) && self.election.entitled(self.now)
    }

    /// Machines and tasks that the present reign has looked at in its passes.
    pub fn visited(&self) -> u64 {
        self.reign.as_ref().map_or(0, |r| r.visited)
    }

    pub fn step(&mut self, now: Ms, wall: WallMs, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        match input {
            Input::Tick => {}
            Input::Submit { req, job, spec } => self.submit(req, job, spec),
            Input::Poll { req, job } => self.ask(req, job, Kind::Poll),
            Input::Cancel { req, job } => self.ask(req, job, Kind::Cancel),
            Input::Checkin { req, report } => self.checkin(req, &report),
            Input::State { op, reply } => self.state_reply(op, reply),
            Input::Cloud { op, reply } => self.cloud_reply(op, reply),
            Input::Peer { progress } => {
                self.leader_heard = self.now;
                if self.reign.is_none() {
                    let known = |p: &&Progress| self.table.active.contains_key(&p.job);
                    self.door.display = progress
                        .iter()
                        .filter(known)
                        .map(|p| (p.job, (p.done, p.running)))
                        .collect();
                }
            }
        }
        self.pump();
        std::mem::take(&mut self.calls.out)
    }

    fn with_reign<T>(
        &mut self,
        f: impl FnOnce(&mut Reign, &Ctx, &mut Calls, &mut SmallRng) -> T,
    ) -> Option<T> {
        let reign = self.reign.as_mut()?;
        let ctx = Ctx {
            cfg: &self.cfg,
            types: &self.types,
            table: &self.table,
            now: self.now,
            wall: self.wall,
            entitled: self.election.entitled(self.now),
        };
        Some(f(reign, &ctx, &mut self.calls, &mut self.rng))
    }

    // ---- what is due ----

    fn pump(&mut self) {
        self.shares();
        // The jitter keeps the nodes that saw a leader go from all asking at once.
        let mut jitter = self.rng.random_range(0..self.cfg.leader_lease_ms() / 25 + 1);
        // A cut between zones costs a leader the machines of the others: let those
        // where most machines are go first.
        if self.election.home().unwrap_or(self.cfg.busiest_zone()) != self.cfg.zone {
            jitter += self.cfg.leader_lease_ms() / 8;
        }
        for (call, op, timeout) in self.election.calls(self.now, jitter) {
            // Leases come first; they are few.
            self.calls.pay(self.now, Class::Lease);
            self.calls.state(Purpose::Election(call), op, timeout);
        }
        self.follow_role();
        self.jobs_view();
        self.types_view();
        self.flush_door();
        let changed = std::mem::take(&mut self.table.changed);
        if !changed.is_empty() {
            self.with_reign(|reign, ctx, _, _| {
                for job in &changed {
                    reign.sync_job(ctx, *job);
                }
            });
        }
        self.with_reign(|reign, ctx, calls, rng| reign.tick(ctx, calls, rng));
        if self.with_reign(|reign, ctx, _, _| ctx.entitled && reign.lost_workers) == Some(true) {
            // Another node may still reach them, and their leases run. One that is able takes
            // over within a leader's lease; where none is, nobody leads for no longer.
            self.calls.log(Level::Info, "resigned", "why=\"workers silent\"".into());
            self.election.resign(self.now, self.cfg.leader_lease_ms() * 2);
        }
        self.read_unknown();
        self.tell_progress();
    }

    fn shares(&mut self) {
        let leads = self.reign.is_some();
        if self.leads == Some(leads) {
            return;
        }
        self.leads = Some(leads);
        let others = (self.cfg.nodes.max(2) - 1) as f64;
        let part = match (self.cfg.nodes, leads) {
            (0 | 1, _) => 1.0,
            (_, true) => LEADER_PART,
            (_, false) => (1.0 - LEADER_PART) / others,
        } * RATE_USED;
        self.calls.state.set_rate(self.cfg.state_rps * part);
        self.calls.writes.set_rate(self.cfg.write_rps * part);
        self.calls.cloud.set_rate(self.cfg.cloud_rps * if leads { 0.8 } else { 0.2 / others });
    }

    fn follow_role(&mut self) {
        let lead = self.election.lead();
        let same = match (&self.reign, lead) {
            (Some(r), Some(l)) => r.token == l.token,
            (None, None) => true,
            _ => false,
        };
        if same {
            return;
        }
        if let Some(r) = self.reign.take() {
            self.calls.log(Level::Info, "deposed", format!("token={}", r.token.0));
        }
        if let Some(l) = lead {
            self.calls.log(Level::Info, "elected", format!("token={}", l.token.0));
            let ctx = Ctx {
                cfg: &self.cfg,
                types: &self.types,
                table: &self.table,
                now: self.now,
                wall: self.wall,
                entitled: true,
            };
            self.reign = Some(Reign::new(&ctx, l.token, l.stamp));
        }
    }

    fn jobs_view(&mut self) {
        if self.jobs_in_flight || self.now < self.jobs_not_before {
            return;
        }
        if !self.calls.pay(self.now, Class::Door) {
            return;
        }
        self.jobs_in_flight = true;
        let patience = self.cfg.leader_lease_ms() / 2;
        match self.jobs_revision {
            None => self.list_jobs(None),
            Some(after) => {
                // Short enough that a watch that went dead costs little of `cancel_s`.
                let wait_ms = self.cfg.cancel_ms / 6;
                let op = StateOp::Watch { prefix: JOBS.into(), after, wait_ms };
                self.calls.state(Purpose::JobsWatch, op, wait_ms + patience);
            }
        }
    }

    fn list_jobs(&mut self, after: Option<String>) {
        let patience = self.cfg.leader_lease_ms() / 2;
        let op = StateOp::List { prefix: ACTIVE.into(), after: after.clone(), limit: 500 };
        self.calls.state(Purpose::JobsList { after }, op, patience);
    }

    fn types_view(&mut self) {
        if self.types_in_flight || self.now < self.types_not_before {
            return;
        }
        let timeout = self.cfg.lease_ms / 3;
        if !self.types_kept {
            if self.calls.pay(self.now, Class::Door) {
                self.types_in_flight = true;
                let op = StateOp::Get(TYPES.into());
                self.calls.state(Purpose::TypesKept, op, timeout);
            }
        } else if self.types_dirty {
            if self.calls.pay(self.now, Class::Door)
                && self.calls.writes.take(self.now, 1.0, Class::Door)
            {
                self.types_in_flight = true;
                let op = StateOp::Txn {
                    conds: vec![(TYPES.into(), self.types_stamp)],
                    puts: vec![Put { key: TYPES.into(), value: encode(&self.types), loan: None }],
                    removes: Vec::new(),
                };
                self.calls.state(Purpose::TypesPut, op, timeout);
            }
        } else if (self.types.is_empty() || self.reign.is_some())
            && self.calls.cloud.take(self.now, 1.0, Class::Lease)
        {
            self.types_in_flight = true;
            self.calls.cloud(Purpose::Types, CloudOp::Types, timeout);
        }
    }

    fn flush_door(&mut self) {
        let patience = self.cfg.leader_lease_ms() / 5;
        // New jobs go out at once; those that come meanwhile go together next.
        if !self.door.submits.is_empty() && self.door.submits_in_flight < 2 {
            let n = self.door.submits.len().min(self.cfg.txn_ops.max(1));
            if self.calls.writes.take(self.now, n as f64, Class::Door)
                && self.calls.pay(self.now, Class::Door)
            {
                let mut batch: Vec<NewJob> = Vec::new();
                let mut bytes = 0;
                let mut puts = Vec::new();
                let mut conds = Vec::new();
                while batch.len() < n && !self.door.submits.is_empty() {
                    let new = self.door.submits.remove(0);
                    let record = JobRecord { at: self.wall, spec: (*new.spec).clone() };
                    let value = encode(&record);
                    bytes += value.len();
                    if bytes > 48 * 1024 && !batch.is_empty() {
                        self.door.submits.insert(0, new);
                        break;
                    }
                    conds.push((active_key(new.job), 0));
                    conds.push((final_key(new.job), 0));
                    puts.push(Put { key: active_key(new.job), value, loan: None });
                    batch.push(new);
                }
                self.door.submits_in_flight += 1;
                let op = StateOp::Txn { conds, puts, removes: Vec::new() };
                self.calls.state(Purpose::Submit(batch), op, patience);
            } else if self.door.submits.len() > self.cfg.txn_ops.max(1) * 2 {
                // More than can be written soon: say so now.
                for new in std::mem::take(&mut self.door.submits) {
                    self.busy(new.asks, 2, "too many submissions");
                }
            }
        }
        // Polls are gathered for a moment and checked together.
        let gather = (self.cfg.report_ms / 10).min(150);
        let conditions = self.cfg.txn_ops * 4;
        let full = self.door.jobs_to_check() * 2 >= conditions;
        if self.door.jobs_to_check() > 0
            && self.door.checks_in_flight < 4
            && (full || self.now >= self.door.checks_since + gather)
        {
            if self.calls.pay(self.now, Class::Door) {
                let (jobs, conds) = self.door.take_checks(&self.table, conditions.max(2));
                self.door.checks_in_flight += 1;
                self.door.checks_since = self.now;
                let op = StateOp::Txn { conds, puts: Vec::new(), removes: Vec::new() };
                self.calls.state(Purpose::Check(jobs), op, patience);
            } else if self.now > self.door.checks_since + 1000 {
                let asks = self.door.give_up_checks();
                self.busy(asks, 1, "no check possible");
            }
        }
        while !self.door.reads.is_empty() && self.calls.pay(self.now, Class::Door) {
            let (job, asks) = self.door.reads.remove(0);
            self.calls.state(
                Purpose::ReadActive { job, asks },
                StateOp::Get(active_key(job)),
                patience,
            );
        }
    }

    fn read_unknown(&mut self) {
        let Some(r) = self.reign.as_mut() else { return };
        if r.unknown.is_empty() || self.door.reads.len() > 16 {
            return;
        }
        // Each is asked for once a second at the most, by taking it off the list here;
        // workers' next reports put it back while it stays unknown.
        while let Some(job) = r.unknown.pop_first() {
            self.door.reads.push((job, Vec::new()));
            if self.door.reads.len() > 16 {
                break;
            }
        }
    }

    fn tell_progress(&mut self) {
        let (now, every) = (self.now, self.cfg.report_ms);
        if !self.election.entitled(now) {
            return;
        }
        if let Some(r) = self.reign.as_mut().filter(|r| r.loaded() && now >= r.next_progress) {
            r.next_progress = now + every;
            let progress = r.progress();
            self.door.display = progress.iter().map(|p| (p.job, (p.done, p.running))).collect();
            self.calls.out.push(Effect::Peers { progress });
        }
    }

    // ---- users ----

    fn busy(&mut self, asks: Vec<Ask>, retry_s: u32, why: &'static str) {
        for a in asks {
            self.door.waiting = self.door.waiting.saturating_sub(1);
            self.calls.answer(a.req, Answer::Busy { retry_s, why });
        }
    }

    fn too_many(&mut self, req: ReqId) -> bool {
        let most = (self.cfg.memory_mb * WAITING_PER_MB).max(64.0) as usize;
        if self.door.waiting < most && self.jobs_loaded {
            return false;
        }
        let why = if self.jobs_loaded { "too many requests" } else { "starting" };
        self.calls.answer(req, Answer::Busy { retry_s: 1, why });
        true
    }

    fn submit(&mut self, req: ReqId, job: JobId, spec: Box<JobSpec>) {
        if self.table.ended(job).is_some() {
            if let Some(answer) = self.door.view(&self.table, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = Ask { req, kind: Kind::Submit };
        if self.table.active.contains_key(&job) {
            return self.door.check(self.now, job, ask);
        }
        if self.types.is_empty() {
            return self.calls.answer(req, Answer::Busy { retry_s: 1, why: "types unknown" });
        }
        if let Some(why) = impossible(&self.cfg, &self.types, &spec) {
            return self.calls.answer(req, Answer::Impossible(why));
        }
        let most = (self.cfg.memory_mb * ACTIVE_PER_MB).max(100.0) as usize;
        if self.table.active.len() >= most {
            return self.calls.answer(req, Answer::Busy { retry_s: 10, why: "too many jobs" });
        }
        self.door.waiting += 1;
        match self.door.submits.iter_mut().find(|n| n.job == job) {
            Some(n) => n.asks.push(ask),
            None => self.door.submits.push(NewJob { job, spec, asks: vec![ask] }),
        }
    }

    fn ask(&mut self, req: ReqId, job: JobId, kind: Kind) {
        if self.table.ended(job).is_some() {
            if let Some(answer) = self.door.view(&self.table, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = Ask { req, kind };
        if kind == Kind::Cancel {
            self.door.waiting += 1;
            self.cancel(job, vec![ask]);
        } else {
            self.door.check(self.now, job, ask);
        }
    }

    fn cancel(&mut self, job: JobId, asks: Vec<Ask>) {
        let Some(a) = self.table.active.get(&job) else {
            self.door.reads.push((job, asks));
            return;
        };
        let stamp = a.stamp;
        if !self.calls.writes.take(self.now, 2.0, Class::Door)
            || !self.calls.pay(self.now, Class::Door)
        {
            return self.busy(asks, 1, "too many changes");
        }
        let op = StateOp::Txn {
            conds: vec![(active_key(job), stamp)],
            puts: vec![Put { key: final_key(job), value: encode(&Final::Cancelled), loan: None }],
            removes: vec![active_key(job)],
        };
        let patience = self.cfg.leader_lease_ms() / 5;
        self.calls.state(Purpose::Cancel { job, asks }, op, patience);
    }

    /// Answers those who waited for a job whose entry was confirmed just now.
    fn confirmed(&mut self, job: JobId, asks: Vec<Ask>) {
        for ask in asks {
            let view = self.door.view(&self.table, job);
            if ask.kind == Kind::Cancel && self.table.active.contains_key(&job) {
                self.cancel(job, vec![ask]);
                continue;
            }
            self.door.waiting = self.door.waiting.saturating_sub(1);
            let answer = match (view, ask.kind) {
                (Some(v), _) => v,
                (None, Kind::Submit) => Answer::Busy { retry_s: 1, why: "not decided" },
                (None, _) => Answer::NotFound,
            };
            self.calls.answer(ask.req, answer);
        }
    }

    // ---- workers ----

    fn checkin(&mut self, req: ReqId, report: &Report) {
        let answer = if self.election.entitled(self.now) {
            self.with_reign(|reign, ctx, calls, rng| reign.checkin(ctx, calls, report, rng))
        } else {
            None
        };
        let answer = answer.unwrap_or_else(|| {
            let leader = self.election.leader_hint().filter(|l| *l != self.cfg.node);
            Answer::Elsewhere { leader: leader.map(str::to_string) }
        });
        self.calls.answer(req, answer);
    }

    // ---- answers of the services ----

    fn apply(&mut self, item: &Item) {
        if let Some(job) = item.key.strip_prefix(ACTIVE).and_then(parse_job) {
            match decode::<JobRecord>(&item.value) {
                Some(record) => self.table.put_active(job, item.stamp, record),
                None => self.calls.log(Level::Error, "job_unreadable", format!("job={job}")),
            }
        } else if let Some(job) = item.key.strip_prefix(FINAL).and_then(parse_job) {
            if let Some(end) = decode(&item.value) {
                self.table.put_final(job, end);
            }
        }
    }

    fn state_reply(&mut self, op: OpId, reply: StateReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match reply {
            StateReply::Unknown => {}
            StateReply::Refused => {}
            _ => self.state_ok = self.now,
        }
        match purpose {
            Purpose::Election(call) => {
                if let Some(loan) = self.election.answer(self.now, call, reply) {
                    let call = crate::election::Call::Revoke { loan };
                    self.calls.state(Purpose::Election(call), StateOp::Revoke { loan }, 1000);
                }
                if let Some((call, op, timeout)) = self.election.take() {
                    self.calls.writes.take(self.now, 2.0, Class::Lease);
                    self.calls.state(Purpose::Election(call), op, timeout);
                }
            }
            Purpose::JobsList { after } => self.jobs_listed(after, reply),
            Purpose::JobsWatch => {
                self.jobs_in_flight = false;
                match reply {
                    StateReply::Events { revision, events } => {
                        for e in &events {
                            match e {
                                Event::Put(item) => self.apply(item),
                                Event::Remove { key, stamp } => {
                                    if let Some(job) = key.strip_prefix(ACTIVE).and_then(parse_job)
                                    {
                                        self.table.remove_active(job, *stamp);
                                    }
                                }
                            }
                        }
                        self.jobs_revision = self.jobs_revision.max(Some(revision));
                        // Changes come in crowds; one watch for each would cost too much.
                        self.jobs_not_before = self.now + self.cfg.report_ms / 10;
                    }
                    StateReply::Compacted => self.jobs_revision = None,
                    _ => self.jobs_not_before = self.now + self.cfg.report_ms / 4,
                }
            }
            Purpose::Submit(batch) => self.submitted(batch, reply),
            Purpose::Check(jobs) => {
                self.door.checks_in_flight -= 1;
                match reply {
                    StateReply::Committed { .. } => {
                        for (job, asks) in jobs {
                            self.confirmed(job, asks);
                        }
                    }
                    StateReply::Conflict { failed } => {
                        for (job, asks) in jobs {
                            if failed.contains(&active_key(job)) || failed.contains(&final_key(job))
                            {
                                self.door.reads.push((job, asks));
                            } else {
                                self.door.check_again(job, asks);
                            }
                        }
                        self.door.checks_since = self.now;
                    }
                    _ => {
                        for (_, asks) in jobs {
                            self.busy(asks, 1, "no check possible");
                        }
                    }
                }
            }
            Purpose::ReadActive { job, asks } => match reply {
                StateReply::Found(item) => {
                    self.apply(&item);
                    self.confirmed(job, asks);
                }
                // The end is read after the entry was found missing: a job only ever
                // goes from one to the other, so missing both means it never was.
                StateReply::Missing => {
                    let patience = self.cfg.leader_lease_ms() / 5;
                    let call = StateOp::Get(final_key(job));
                    self.calls.pay(self.now, Class::Lease);
                    self.calls.state(Purpose::ReadFinal { job, asks }, call, patience);
                }
                _ => self.unread(job, asks),
            },
            Purpose::ReadFinal { job, asks } => match reply {
                StateReply::Found(item) => {
                    self.apply(&item);
                    self.confirmed(job, asks);
                }
                StateReply::Missing => self.confirmed(job, asks),
                _ => self.unread(job, asks),
            },
            Purpose::Cancel { job, asks } => match reply {
                StateReply::Committed { .. } => {
                    self.table.put_final(job, Final::Cancelled);
                    self.calls.log(Level::Info, "job_cancelled", format!("job={job}"));
                    self.confirmed(job, asks);
                }
                StateReply::Conflict { .. } => self.door.reads.push((job, asks)),
                _ => self.busy(asks, 1, "not decided"),
            },
            Purpose::TypesKept => {
                self.types_in_flight = false;
                match reply {
                    StateReply::Found(item) => {
                        self.types_kept = true;
                        self.types_stamp = item.stamp;
                        if let (true, Some(t)) = (self.types.is_empty(), decode(&item.value)) {
                            self.types = t;
                        }
                    }
                    StateReply::Missing => {
                        self.types_kept = true;
                        self.types_stamp = 0;
                    }
                    _ => self.types_not_before = self.now + self.cfg.report_ms / 4,
                }
            }
            Purpose::TypesPut => {
                self.types_in_flight = false;
                self.types_dirty = false;
                if !matches!(reply, StateReply::Committed { .. }) {
                    self.types_kept = false; // read what is there
                }
            }
            Purpose::Load { token } => {
                self.with_reign(|reign, ctx, calls, _| {
                    if reign.token == token {
                        reign.load_answer(ctx, calls, reply);
                    }
                });
            }
            Purpose::Flush { token, flush } => {
                let out = self.with_reign(|reign, ctx, _, _| {
                    (reign.token == token).then(|| reign.flush_answer(ctx, *flush, reply))
                });
                if let Some(Some(out)) = out {
                    for job in out.ends {
                        self.calls.log(Level::Info, "job_done", format!("job={job}"));
                        self.table.put_final(job, Final::Done);
                    }
                    self.door.reads.extend(out.read.into_iter().map(|j| (j, Vec::new())));
                    if out.deposed {
                        self.election.step_down(self.now);
                    }
                }
            }
            Purpose::Refresh { token, key } => {
                self.with_reign(|reign, _, _, _| {
                    if reign.token == token {
                        reign.refresh_answer(key, reply);
                    }
                });
            }
            _ => {}
        }
    }

    fn unread(&mut self, job: JobId, asks: Vec<Ask>) {
        if asks.is_empty() {
            if let Some(r) = self.reign.as_mut() {
                r.unknown.insert(job);
            }
        }
        self.busy(asks, 1, "no check possible");
    }

    fn jobs_listed(&mut self, after: Option<String>, reply: StateReply) {
        let StateReply::Rows { items, more, revision } = reply else {
            self.jobs_in_flight = false;
            self.jobs_list_revision = None;
            self.jobs_not_before = self.now + self.cfg.report_ms / 4;
            return;
        };
        for i in &items {
            self.apply(i);
        }
        // Entries we hold in this stretch of keys that are not listed any more.
        let from = after.as_deref().unwrap_or(ACTIVE);
        let to = items.last().filter(|_| more).map(|i| i.key.as_str());
        let listed: std::collections::BTreeSet<&str> =
            items.iter().map(|i| i.key.as_str()).collect();
        let gone: Vec<JobId> = self
            .table
            .active
            .keys()
            .filter(|j| {
                let key = active_key(**j);
                key.as_str() > from
                    && to.is_none_or(|t| key.as_str() <= t)
                    && !listed.contains(key.as_str())
            })
            .copied()
            .collect();
        for job in gone {
            self.table.remove_active(job, revision + 1);
        }
        // The watch starts where the first page was read.
        let first = *self.jobs_list_revision.get_or_insert(revision);
        if more {
            self.list_jobs(items.last().map(|i| i.key.clone()));
            return;
        }
        self.jobs_in_flight = false;
        self.jobs_list_revision = None;
        self.jobs_revision = Some(first);
        self.jobs_loaded = true;
    }

    fn submitted(&mut self, batch: Vec<NewJob>, reply: StateReply) {
        self.door.submits_in_flight -= 1;
        match reply {
            StateReply::Committed { revision } => {
                for new in batch {
                    let record = JobRecord { at: self.wall, spec: *new.spec };
                    self.table.put_active(new.job, revision, record);
                    for ask in new.asks {
                        self.door.waiting = self.door.waiting.saturating_sub(1);
                        self.calls.answer(ask.req, Answer::Created { job: new.job });
                    }
                }
            }
            StateReply::Conflict { failed } => {
                let mut rest = Vec::new();
                for new in batch {
                    let keys = [active_key(new.job), final_key(new.job)];
                    if keys.iter().any(|k| failed.contains(k)) {
                        self.door.reads.push((new.job, new.asks));
                    } else {
                        rest.push(new);
                    }
                }
                // One duplicate must not cost the others their place.
                rest.append(&mut self.door.submits);
                self.door.submits = rest;
            }
            StateReply::Refused => {
                for new in batch {
                    self.busy(new.asks, 1, "state service refused");
                }
            }
            _ => {
                for new in batch {
                    self.busy(new.asks, 1, "not decided");
                }
            }
        }
    }

    fn cloud_reply(&mut self, op: OpId, reply: CloudReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match purpose {
            Purpose::Types => {
                self.types_in_flight = false;
                self.types_not_before = self.now + self.cfg.lease_ms / 8;
                if let CloudReply::Types(types) = reply {
                    self.types_not_before = self.now + self.cfg.lease_ms * 6;
                    let shape = |t: &MachineType| {
                        (t.name.clone(), t.cpus, t.gpus, t.memory_gb, t.zones.clone())
                    };
                    // Prices move all the time; only what decides a submission is kept.
                    let same = types.len() == self.types.len()
                        && types.iter().zip(&self.types).all(|(a, b)| shape(a) == shape(b));
                    if !types.is_empty() {
                        self.types_dirty |= !same || self.types_stamp == 0;
                        self.types = types;
                    }
                }
            }
            Purpose::Rent { token, requisition } => {
                self.with_reign(|reign, ctx, calls, _| {
                    if reign.token == token {
                        reign.rent_answer(ctx, calls, &requisition, reply);
                    }
                });
            }
            Purpose::Release { token, machines } => {
                self.with_reign(|reign, ctx, calls, _| {
                    if reign.token == token {
                        reign.release_answer(ctx, calls, machines, reply);
                    }
                });
            }
            Purpose::List { token } => {
                self.with_reign(|reign, ctx, calls, _| {
                    if reign.token == token {
                        reign.list_answer(ctx, calls, reply);
                    }
                });
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::sample::{a_type, settings};

    /// A node that alone lost the state service would answer its users 503 for as long as
    /// it looked ready. In an outage of all there is no better node to send them to.
    #[test]
    fn a_node_that_is_alone_without_the_state_service_is_not_ready() {
        let mut n = Node::new(Arc::new(settings()), 1);
        n.jobs_loaded = true;
        n.types = vec![a_type()];
        n.state_ok = 10_000;
        let mut ready_at = |now, leader_heard| {
            (n.now, n.leader_heard) = (now, leader_heard);
            n.ready()
        };
        assert!(ready_at(13_000, 12_900));
        assert!(!ready_at(14_000, 13_900), "a leader is heard");
        assert!(ready_at(14_000, 11_000), "nobody leads");
        assert!(ready_at(20_000, 11_000));
        assert!(!ready_at(20_001, 11_000));
    }
}
