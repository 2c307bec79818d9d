//! The leader's side: how much each controller may accept of each team and class.
//!
//! For a team, what waits and what was handed out and is not known to be used stay within a bound
//! together. A record that is being replaced counts until the view has reached the revision of
//! the new one: until then its controller may use all that is left of it.

use crate::allotment::{Allotment, ClassRoom, OTHER_CLASSES};
use crate::revision::Revision;
use crate::room::Room;
use crate::view::{Held, View};
use std::collections::BTreeMap;

/// Part of a team's bound that its classes keep in equal shares, whatever the others ask for.
const LEAST_OF_CLASSES: f64 = 0.5;
/// Part of what a class has that the controllers get in equal shares.
const LEAST_OF_NODES: f64 = 0.5;
/// Part of what is free that is handed out; the rest is there to replace records with.
const HANDED_OUT: f64 = 0.5;
/// A record is replaced once less than this part of what it should hold is left, or more than
/// the inverse.
const WORN: f64 = 0.5;
/// How much of earlier rounds' demand is remembered in each round.
const REMEMBERED: f64 = 0.5;
/// A team may let wait at least as much as this part of all guarantees would work off.
const LEAST_RATE: f64 = 0.1;
/// Jobs of each class that a team may have for each controller, however little its part is.
const LEAST_JOBS: u32 = 4;
/// Classes that one team's allotments name; the others share one entry.
const CLASSES_MOST: usize = 16;
/// The longest that somebody is told to wait, in seconds.
const WAIT_MOST_S: f64 = 30.0;

/// What bounds the backlog of all teams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Seconds of work that may wait, at the rate at which a team is served.
    pub horizon_s: f64,
    /// Jobs of all teams together.
    pub jobs: u32,
    /// Seconds between two plans.
    pub round_s: f64,
}

/// What waits of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub class: String,
    /// Its unfinished jobs, and the work of them that waits.
    pub waiting: Room,
}

/// What the leader knows of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLoad {
    /// The team.
    pub team: String,
    /// CPUs that it is guaranteed.
    pub guaranteed: f64,
    /// CPUs that it may use; infinite without a limit.
    pub limit: f64,
    /// Its part of the jobs that all teams may have, from 0 to 1.
    pub share: f64,
    /// CPUs that it used on average of late.
    pub served: f64,
    /// Its classes, those without jobs included that may have some.
    pub classes: Vec<ClassLoad>,
}

/// A record to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// What it says.
    pub allotment: Allotment,
    /// The mod revision that the record must still have; [`Revision::NONE`] if there is none.
    pub replaces: Revision,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was carried out.
    Done,
    /// It may have been carried out, or be later.
    Perhaps,
    /// It was not carried out, and never will be.
    Not,
}

/// Grants on their way, or carried out and not in the view yet: they count beside what they
/// replace. At most one of those that replace the same mod revision is carried out.
#[derive(Clone, Debug)]
struct Pending {
    replaces: Revision,
    most: BTreeMap<String, Room>,
    /// It is not known what became of one of them: only a further write settles it.
    uncertain: bool,
}

/// See the module.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// By team and controller.
    pending: BTreeMap<(String, String), Pending>,
    /// Jobs accepted of late, fading: by team, class and controller.
    demand: BTreeMap<(String, String, String), f64>,
    /// What each record was known to have spent at the last plan, with its mod revision.
    seen: BTreeMap<(String, String), (Revision, Vec<u32>)>,
}

impl Planner {
    /// The records to write now: only those that change much. Each is to be told of with
    /// [`Planner::written`].
    pub fn plan(&mut self, view: &View, bounds: &Bounds, teams: &[TeamLoad]) -> Vec<Grant> {
        self.forget_what_arrived(view);
        self.note_demand(view, teams);
        let guaranteed: f64 = teams.iter().map(|team| team.guaranteed).sum();
        let mut grants = Vec::new();
        for team in teams {
            grants.extend(self.plan_team(view, bounds, team, guaranteed));
        }
        for grant in &grants {
            self.note_pending(grant);
        }
        grants
    }

    /// What became of a grant.
    pub fn written(&mut self, grant: &Grant, outcome: Written) {
        let key = (grant.allotment.team.clone(), grant.allotment.controller.clone());
        let Some(pending) = self.pending.get_mut(&key) else { return };
        match outcome {
            // The view will show it.
            Written::Done => pending.uncertain = false,
            Written::Perhaps => pending.uncertain = true,
            // What an earlier one became is no clearer for it.
            Written::Not if pending.uncertain => {}
            Written::Not => {
                self.pending.remove(&key);
            }
        }
    }

    /// The bound of a team: what may wait of it, handed out or not.
    pub fn bound(bounds: &Bounds, team: &TeamLoad, guaranteed: f64, controllers: usize) -> Room {
        let least = team.guaranteed.max(guaranteed * LEAST_RATE);
        let rate = team.served.max(least).min(team.limit);
        let jobs = (f64::from(bounds.jobs) * team.share) as u32;
        let entries = (team.classes.len() + 1).min(CLASSES_MOST + 1) * controllers;
        Room { jobs: jobs.max(entries as u32 * LEAST_JOBS), work: rate * bounds.horizon_s }
    }

    fn forget_what_arrived(&mut self, view: &View) {
        self.pending.retain(|(team, controller), pending| {
            view.held(team, controller).map_or(Revision::NONE, |held| held.mod_revision)
                == pending.replaces
        });
    }

    fn note_pending(&mut self, grant: &Grant) {
        let key = (grant.allotment.team.clone(), grant.allotment.controller.clone());
        let pending = self.pending.entry(key).or_insert_with(|| Pending {
            replaces: grant.replaces,
            most: BTreeMap::new(),
            uncertain: false,
        });
        for class in &grant.allotment.classes {
            let most = pending.most.entry(class.class.clone()).or_default();
            *most = most.max(class.room());
        }
    }

    /// How many jobs each controller accepted since the last plan, by class.
    fn note_demand(&mut self, view: &View, teams: &[TeamLoad]) {
        self.demand.values_mut().for_each(|jobs| *jobs *= REMEMBERED);
        self.demand.retain(|_, jobs| *jobs > 0.01);
        let before = std::mem::take(&mut self.seen);
        for held in teams.iter().flat_map(|team| view.of_team(&team.team)) {
            let Allotment { team, controller, classes, .. } = &held.allotment;
            let key = (team.clone(), controller.clone());
            let known =
                before.get(&key).filter(|(mod_revision, _)| *mod_revision == held.mod_revision);
            let spent: Vec<u32> = (0..classes.len()).map(|at| held.spent(at).jobs).collect();
            for (entry, class) in classes.iter().enumerate() {
                let earlier = known.map_or(0, |(_, spent)| spent[entry]);
                let new = spent[entry].saturating_sub(earlier);
                if new > 0 {
                    let key = (team.clone(), class.class.clone(), controller.clone());
                    *self.demand.entry(key).or_default() += f64::from(new);
                }
            }
            self.seen.insert(key, (held.mod_revision, spent));
        }
    }

    fn demand_of(&self, team: &str, class: &str, controller: &str) -> f64 {
        let key = (team.to_string(), class.to_string(), controller.to_string());
        self.demand.get(&key).copied().unwrap_or(0.0)
    }

    /// What may still be accepted of a class under records that are out, or may be.
    fn outstanding(&self, view: &View, team: &str, class: &str) -> Room {
        let held = view.of_team(team).map(|held| unspent_of(held, class));
        let pending = self.pending.iter().filter(|((of, _), _)| of == team);
        let pending = pending.filter_map(|(_, pending)| pending.most.get(class).copied());
        held.chain(pending).fold(Room::default(), Room::plus)
    }

    fn plan_team(
        &self,
        view: &View,
        bounds: &Bounds,
        team: &TeamLoad,
        guaranteed: f64,
    ) -> Vec<Grant> {
        let classes = named_classes(team);
        let controllers: Vec<(&str, u64)> = view.controllers().collect();
        let bound = Self::bound(bounds, team, guaranteed, controllers.len());
        let demands: Vec<Vec<f64>> = classes
            .iter()
            .map(|load| {
                let of = |(controller, _): &(&str, u64)| {
                    self.demand_of(&team.team, &load.class, controller)
                };
                controllers.iter().map(of).collect()
            })
            .collect();
        let waiting: Vec<Room> = classes.iter().map(|load| load.waiting).collect();
        let free = free_by_class(bound, &waiting, &demands);
        // What is out counts as taken; each record that is written takes a part of the rest.
        let outstanding = |load: &ClassLoad| self.outstanding(view, &team.team, &load.class);
        let taken: Vec<Room> =
            classes.iter().map(|load| load.waiting.plus(outstanding(load))).collect();
        let mut left = free_by_class(bound, &taken, &demands);
        let mut grants = Vec::new();
        for (at, (controller, incarnation)) in controllers.iter().enumerate() {
            let targets: Vec<Room> = free
                .iter()
                .zip(&demands)
                .map(|(free, demands)| target(*free, share_of_node(demands, at), controllers.len()))
                .collect();
            let held = view.held(&team.team, controller);
            let held = held.filter(|held| held.allotment.incarnation == *incarnation);
            let key = (team.team.clone(), (*controller).to_string());
            let replace = match self.pending.get(&key) {
                // What became of the last write shows in the view, or is settled by another.
                Some(pending) => pending.uncertain,
                None => held.is_none_or(|held| {
                    !held.complete
                        || view.asks_again(held)
                        || is_worn(held, &classes, &targets, &left)
                }),
            };
            if !replace {
                continue;
            }
            let replaces =
                view.held(&team.team, controller).map_or(Revision::NONE, |held| held.mod_revision);
            let entry = |(at, load): (usize, &ClassLoad)| {
                let room = targets[at].min(left[at]);
                left[at] = left[at].minus(room);
                let wait_s = wait_s(bounds, team, bound, load, free[at]);
                ClassRoom { class: load.class.clone(), jobs: room.jobs, work: room.work, wait_s }
            };
            let allotment = Allotment {
                team: team.team.clone(),
                controller: (*controller).into(),
                incarnation: *incarnation,
                horizon_s: bounds.horizon_s,
                classes: classes.iter().enumerate().map(entry).collect(),
            };
            grants.push(Grant { allotment, replaces });
        }
        grants
    }
}

/// Whether a record holds far less or far more than it should.
fn is_worn(held: &Held, classes: &[ClassLoad], targets: &[Room], left: &[Room]) -> bool {
    classes.iter().enumerate().any(|(at, load)| {
        let Some(entry) = held.allotment.classes.iter().position(|c| c.class == load.class) else {
            return true;
        };
        let has = held.unspent(entry);
        let should = targets[at];
        let can = should.min(left[at]);
        let jobs = |room: Room| f64::from(room.jobs);
        let few = (jobs(has) < jobs(should) * WORN && can.jobs > has.jobs)
            || (has.work < should.work * WORN && can.work > has.work);
        let many = jobs(has) * WORN > jobs(should) + 1.0 || has.work * WORN > should.work + 1.0;
        few || many
    })
}

fn unspent_of(held: &Held, class: &str) -> Room {
    let entry = held.allotment.classes.iter().position(|entry| entry.class == class);
    entry.map_or(Room::default(), |entry| held.unspent(entry))
}

/// The classes that get an entry each, and the one for all others.
fn named_classes(team: &TeamLoad) -> Vec<ClassLoad> {
    let mut classes: Vec<ClassLoad> =
        team.classes.iter().filter(|load| load.class != OTHER_CLASSES).cloned().collect();
    classes.sort_by(|a, b| b.waiting.jobs.cmp(&a.waiting.jobs).then_with(|| a.class.cmp(&b.class)));
    let beyond = classes.split_off(classes.len().min(CLASSES_MOST));
    let waiting = beyond.iter().fold(Room::default(), |sum, load| sum.plus(load.waiting));
    classes.sort_by(|a, b| a.class.cmp(&b.class));
    classes.push(ClassLoad { class: OTHER_CLASSES.into(), waiting });
    classes
}

/// What each class may still take: the rest of its own least share, and a part of what no class
/// has taken of the common one, by what it asked for of late.
fn free_by_class(bound: Room, taken: &[Room], demands: &[Vec<f64>]) -> Vec<Room> {
    let least = bound.part(LEAST_OF_CLASSES / taken.len().max(1) as f64);
    let kept = taken.iter().map(|taken| taken.max(least)).fold(Room::default(), Room::plus);
    let common = bound.minus(kept);
    let weights: Vec<f64> =
        demands.iter().map(|demands| 1.0 + demands.iter().sum::<f64>()).collect();
    let sum: f64 = weights.iter().sum();
    taken
        .iter()
        .zip(&weights)
        .map(|(taken, weight)| least.minus(*taken).plus(common.part(weight / sum)))
        .collect()
}

fn share_of_node(demands: &[f64], controller: usize) -> f64 {
    let count = demands.len().max(1) as f64;
    let sum: f64 = demands.iter().sum();
    match sum > 0.0 {
        true => LEAST_OF_NODES / count + (1.0 - LEAST_OF_NODES) * demands[controller] / sum,
        false => 1.0 / count,
    }
}

/// What a controller should hold of a class. At least one job where there is one for each controller.
fn target(free: Room, share: f64, controllers: usize) -> Room {
    let room = free.part(HANDED_OUT * share);
    let least = u32::from(free.jobs as usize >= 2 * controllers);
    Room { jobs: room.jobs.max(least), work: room.work }
}

/// Seconds until a class that is refused has room again: until the next plan, and until what
/// waits beyond its part of the bound is worked off.
fn wait_s(bounds: &Bounds, team: &TeamLoad, bound: Room, load: &ClassLoad, free: Room) -> u32 {
    let waits = team.classes.iter().map(|load| load.waiting.work).sum::<f64>();
    let per_job = load.waiting.work / f64::from(load.waiting.jobs.max(1));
    let beyond = (waits - bound.work).max(0.0) + if free.is_open() { 0.0 } else { per_job };
    let worked_off = beyond / team.served.max(team.guaranteed).max(1.0);
    (bounds.round_s / 2.0 + worked_off).ceil().clamp(1.0, WAIT_MOST_S) as u32
}
