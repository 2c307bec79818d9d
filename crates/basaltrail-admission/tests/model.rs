//! Controllers, a leader and a store as a model: caches that lag, writes that are carried out
//! late or twice, answers that are lost, processes that stand still, end and come back, leaders
//! that change. At no revision have more jobs of a team been accepted and not ended than its
//! bound allows.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use basaltrail_admission::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const CONTROLLERS: usize = 3;
const TEAM: &str = "t";
const CLASSES: [&str; 2] = ["large", "small"];
const BOUNDS: BacklogBounds = BacklogBounds { horizon_s: 100.0, jobs: 240, round_s: 10.0 };
const GUARANTEED: f64 = 100.0;

/// What is written, in the order of the revisions.
#[derive(Clone)]
enum Record {
    Controller { controller: usize, incarnation: u64 },
    Quota(AdmissionQuota),
    Job { id: u64, acceptance: Acceptance },
}

/// A transaction on its way.
#[derive(Clone)]
enum Write {
    Accept { from: (usize, u64), id: u64, reservation: Reservation, class: &'static str },
    Quota { leader: u64, write: QuotaWrite },
}

struct Process {
    incarnation: u64,
    cache: QuotaCache,
    limiter: QuotaLimiter,
    /// How much of the log it has read.
    read: usize,
    frozen_until: u64,
    /// Since when it has watched: what was accepted before and has ended is not known to it.
    began: usize,
}

struct Model {
    rng: SmallRng,
    t: u64,
    log: Vec<Record>,
    mod_revisions: BTreeMap<String, Revision>,
    controllers: Vec<Process>,
    leader: usize,
    leader_revision: u64,
    planner: QuotaPlanner,
    writes: Vec<(u64, Write, bool)>,
    jobs: BTreeMap<u64, Acceptance>,
    next_job: u64,
    next_plan: u64,
    accepted: u64,
    /// No job ends until then.
    stalled_until: u64,
    /// The most that were accepted and not ended.
    most: usize,
    flood: Option<usize>,
    /// Whether acceptances are conditional on the quota's mod revision.
    fenced: bool,
}

fn name(controller: usize) -> String {
    format!("n{controller}")
}

fn team(classes: Vec<ClassLoad>) -> TeamLoad {
    TeamLoad {
        team: TEAM.into(),
        guaranteed: GUARANTEED,
        limit: 200.0,
        share: 1.0,
        served: GUARANTEED,
        classes,
    }
}

fn demand(class: &str) -> JobDemand {
    let (cpus, run_s) = if class == "large" { (2.0, 40.0) } else { (1.0, 5.0) };
    JobDemand { team: TEAM.into(), class: class.into(), cpus, run_s: Some(run_s) }
}

impl Model {
    fn new(seed: u64, fenced: bool) -> Self {
        let process = |controller: usize| Process {
            incarnation: 1,
            cache: QuotaCache::default(),
            limiter: QuotaLimiter::new(&name(controller), 1, QuotaMode::Enforced),
            read: 0,
            frozen_until: 0,
            began: 0,
        };
        let mut model = Model {
            rng: SmallRng::seed_from_u64(seed),
            t: 0,
            log: Vec::new(),
            mod_revisions: BTreeMap::new(),
            controllers: (0..CONTROLLERS).map(process).collect(),
            leader: 0,
            leader_revision: 1,
            planner: QuotaPlanner::default(),
            writes: Vec::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            next_plan: 0,
            accepted: 0,
            stalled_until: 0,
            most: 0,
            flood: None,
            fenced,
        };
        for controller in 0..CONTROLLERS {
            model.log.push(Record::Controller { controller, incarnation: 1 });
        }
        model
    }

    /// Served and guaranteed are always the same here, and so is the bound. Nobody asks for a
    /// class that is not named, so the least share of those is never taken.
    fn bound(&self) -> u32 {
        let bound = QuotaPlanner::bound(&BOUNDS, &team(Vec::new()), GUARANTEED, CONTROLLERS).jobs;
        bound - bound / 2 / (CLASSES.len() as u32 + 1)
    }

    /// What the leader knows: acceptances that it has read, and which jobs have ended.
    fn load(&self) -> TeamLoad {
        let read = &self.log[..self.controllers[self.leader].read];
        let mut classes: Vec<ClassLoad> = CLASSES
            .map(|class| ClassLoad { class: class.into(), waiting: WorkAmount::default() })
            .to_vec();
        for record in read {
            let Record::Job { id, acceptance } = record else { continue };
            if self.jobs.contains_key(id) {
                let load = classes.iter_mut().find(|load| load.class == acceptance.demand.class);
                let load = load.unwrap();
                load.waiting = load.waiting.plus(acceptance.demand.cost(BOUNDS.horizon_s));
            }
        }
        team(classes)
    }

    /// A controller reads what is new.
    fn read(&mut self, controller: usize) {
        let process = &mut self.controllers[controller];
        while process.read < self.log.len() {
            let mod_revision = Revision(process.read as u64 + 1);
            let earlier = &self.log[..process.read];
            match &self.log[process.read] {
                Record::Controller { controller, incarnation } => {
                    process.cache.put_controller(&name(*controller), *incarnation, mod_revision);
                }
                Record::Quota(quota) => {
                    let complete = process.read >= process.began;
                    // Of what was read from a list, ended jobs are missing.
                    let jobs = &self.jobs;
                    let accepted = earlier.iter().filter_map(|record| match record {
                        Record::Job { id, acceptance } if complete || jobs.contains_key(id) => {
                            Some(acceptance.clone())
                        }
                        _ => None,
                    });
                    process.cache.put_quota(quota.clone(), mod_revision, accepted, complete);
                }
                Record::Job { id, acceptance } => {
                    if process.read >= process.began || self.jobs.contains_key(id) {
                        process.cache.count_acceptance(acceptance);
                    }
                }
            }
            process.read += 1;
        }
    }

    fn send(&mut self, write: Write) {
        let lost = self.rng.random_bool(0.1);
        let late = self.rng.random_bool(0.2);
        let delay = if late { self.rng.random_range(10..300) } else { self.rng.random_range(1..4) };
        if self.rng.random_bool(0.05) {
            // It is carried out twice; nobody hears of the second.
            let copy = self.t + self.rng.random_range(5..300);
            self.writes.push((copy, write.clone(), true));
        }
        if lost || late {
            // Its sender gives up before that.
            match &write {
                Write::Accept { from, reservation, .. } if self.is_there(*from) => {
                    self.controllers[from.0].limiter.settle(reservation, AcceptanceOutcome::Used);
                }
                Write::Quota { leader, write } if *leader == self.leader_revision => {
                    self.planner.record_result(write, WriteResult::Unknown);
                }
                _ => {}
            }
        }
        let gone = lost && !late && self.rng.random_bool(0.5);
        if !gone {
            self.writes.push((self.t + delay, write, lost || late));
        }
    }

    fn is_there(&self, (controller, incarnation): (usize, u64)) -> bool {
        self.controllers[controller].incarnation == incarnation
    }

    fn carry_out(&mut self, write: Write, unheard: bool) {
        match write {
            Write::Accept { from, id, reservation, class } => {
                let (_, mod_revision) = reservation.precondition().unwrap();
                let key = name(from.0);
                let moved = self.fenced && self.mod_revisions.get(&key) != Some(&mod_revision);
                if !moved && !self.jobs.contains_key(&id) {
                    let mod_revision = Revision(self.log.len() as u64 + 1);
                    let acceptance =
                        Acceptance { controller: key, demand: demand(class), mod_revision };
                    self.log.push(Record::Job { id, acceptance: acceptance.clone() });
                    self.jobs.insert(id, acceptance);
                    self.accepted += 1;
                }
                if unheard || !self.is_there(from) {
                    return;
                }
                let limiter = &mut self.controllers[from.0].limiter;
                match moved {
                    true => {
                        limiter.mark_replaced(&reservation);
                        limiter.settle(&reservation, AcceptanceOutcome::NotUsed);
                    }
                    false => limiter.settle(&reservation, AcceptanceOutcome::Used),
                }
            }
            Write::Quota { leader, write } => {
                let key = write.quota.controller.clone();
                let mod_revision = self.mod_revisions.get(&key).copied().unwrap_or(Revision::NONE);
                let done = leader == self.leader_revision && mod_revision == write.replaces;
                if done {
                    self.log.push(Record::Quota(write.quota.clone()));
                    self.mod_revisions.insert(key, Revision(self.log.len() as u64));
                }
                if !unheard && leader == self.leader_revision {
                    let outcome =
                        if done { WriteResult::Committed } else { WriteResult::NotExecuted };
                    self.planner.record_result(&write, outcome);
                }
            }
        }
    }

    fn step(&mut self) {
        self.t += 1;
        let due: Vec<(u64, Write, bool)> =
            self.writes.extract_if(.., |(at, _, _)| *at <= self.t).collect();
        for (_, write, unheard) in due {
            self.carry_out(write, unheard);
        }
        for controller in 0..CONTROLLERS {
            if self.t < self.controllers[controller].frozen_until {
                continue;
            }
            if self.rng.random_bool(0.4) {
                self.read(controller);
            }
            let flooded = self.flood.is_none_or(|flooded| flooded == controller);
            let asks = if flooded { 12 } else { 0 };
            for _ in 0..asks {
                let class = CLASSES[self.rng.random_range(0..CLASSES.len())];
                let process = &mut self.controllers[controller];
                let Ok(reservation) = process.limiter.admit(&process.cache, demand(class)) else {
                    continue;
                };
                if !process.limiter.is_current(&process.cache, &reservation) {
                    continue;
                }
                self.next_job += 1;
                let (from, id) = ((controller, process.incarnation), self.next_job);
                self.send(Write::Accept { from, id, reservation, class });
            }
        }
        if self.t >= self.next_plan && self.t >= self.controllers[self.leader].frozen_until {
            self.next_plan = self.t + 10;
            let (load, cache) = (self.load(), &self.controllers[self.leader].cache);
            for write in self.planner.plan(cache, &BOUNDS, &[load]) {
                self.send(Write::Quota { leader: self.leader_revision, write });
            }
        }
        // Some jobs end.
        while self.t >= self.stalled_until && self.rng.random_bool(0.8) && !self.jobs.is_empty() {
            let nth = self.rng.random_range(0..self.jobs.len());
            let id = *self.jobs.keys().nth(nth).unwrap();
            self.jobs.remove(&id);
        }
        let bound = self.bound();
        self.most = self.most.max(self.jobs.len());
        assert!(
            self.jobs.len() as u32 <= bound,
            "{} ms: {} jobs accepted, {bound} allowed",
            self.t,
            self.jobs.len()
        );
    }

    fn trouble(&mut self) {
        let controller = self.rng.random_range(0..CONTROLLERS);
        match self.rng.random_range(0..6) {
            0 => self.controllers[controller].frozen_until = self.t + self.rng.random_range(5..80),
            1 => {
                // It ends and is back at once, knowing nothing but what a list tells.
                let incarnation = self.controllers[controller].incarnation + 1;
                self.controllers[controller] = Process {
                    incarnation,
                    cache: QuotaCache::default(),
                    limiter: QuotaLimiter::new(&name(controller), incarnation, QuotaMode::Enforced),
                    read: 0,
                    frozen_until: 0,
                    began: self.log.len(),
                };
                self.log.push(Record::Controller { controller, incarnation });
                if controller == self.leader {
                    self.lead((controller + 1) % CONTROLLERS);
                }
            }
            2 => self.lead(controller),
            3 | 4 => self.stalled_until = self.t + self.rng.random_range(50..200),
            _ => self.flood = [None, Some(controller)][self.rng.random_range(0..2)],
        }
    }

    /// Another leader begins; what the one before sent is refused from now on. It reads what
    /// was written before it acts.
    fn lead(&mut self, controller: usize) {
        self.leader = controller;
        self.leader_revision += 1;
        self.planner = QuotaPlanner::default();
        self.read(controller);
    }
}

/// Jobs that were accepted in all, and the most that were at one time.
fn play(seed: u64, fenced: bool) -> (u64, usize) {
    let mut model = Model::new(seed, fenced);
    for step in 0..2_000 {
        model.step();
        if step % 60 == 59 {
            model.trouble();
        }
    }
    (model.accepted, model.most)
}

#[test]
fn no_more_is_accepted_than_the_bound_allows() {
    let (mut accepted, mut most) = (0, 0);
    for seed in 0..40 {
        let (in_all, at_once) = play(seed, true);
        (accepted, most) = (accepted + in_all, most.max(at_once));
    }
    println!("{accepted} accepted, {most} at once");
    assert!(accepted > 10_000, "{accepted} jobs in all: too little was admitted");
    assert!(most as u32 >= BOUNDS.jobs * 3 / 4, "{most}: the bound was never near");
}

/// The same model with acceptances that do not name their quota's mod revision.
#[test]
#[should_panic(expected = "jobs accepted")]
fn without_the_revision_more_is_accepted() {
    for seed in 0..40 {
        play(seed, false);
    }
}
