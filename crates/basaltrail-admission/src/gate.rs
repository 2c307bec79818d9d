//! The controller's side: what it admits out of its allotments.

use crate::allotment::Demand;
use crate::revision::Revision;
use crate::room::Room;
use crate::view::View;
use std::collections::BTreeMap;

/// Seconds after which a controller asks again that has no allotment, or whose allotment has moved on.
const SOON_S: u32 = 1;

/// Whether allotments bind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The leader hands out none: everything is admitted.
    Open,
    /// Nothing is admitted without one.
    Allotted,
}

/// Why a submission is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// This process has no allotment yet.
    NoAllotment,
    /// A newer allotment has been written and is not known here yet.
    Moved,
    /// The allotment is used up.
    Full,
}

impl Reason {
    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoAllotment => "no_allotment",
            Reason::Moved => "allotment_moved",
            Reason::Full => "backlog_full",
        }
    }
}

/// A submission is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When there may be room, in seconds.
    pub retry_after_s: u32,
}

/// What was set aside for one submission. The acceptance is conditional on `mod revision`.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    demand: Demand,
    entry: usize,
    cost: Room,
    /// The mod revision of the allotment; none where allotments do not bind.
    mod_revision: Option<Revision>,
}

impl Ticket {
    /// The team and the mod revision that its allotment must still have when the job is accepted.
    pub fn condition(&self) -> Option<(&str, Revision)> {
        self.mod_revision.map(|mod_revision| (self.demand.team.as_str(), mod_revision))
    }
}

/// What became of an acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out, or may be.
    Used,
    /// It was not carried out, and never will be.
    NotUsed,
}

#[derive(Clone, Debug, Default)]
struct Spending {
    mod_revision: Revision,
    used: Vec<Room>,
    /// An acceptance under this mod revision was refused: the allotment has moved on.
    moved: bool,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Gate {
    controller: String,
    incarnation: u64,
    mode: Mode,
    /// By team.
    spending: BTreeMap<String, Spending>,
}

impl Gate {
    /// The gate of a process that has just started.
    pub fn new(controller: &str, incarnation: u64, mode: Mode) -> Self {
        Gate { controller: controller.into(), incarnation, mode, spending: BTreeMap::new() }
    }

    /// Whether allotments bind.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// A leader was seen that hands out allotments, or one that does not.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Sets aside what a submission takes.
    ///
    /// # Errors
    ///
    /// If there is no room for it now.
    pub fn admit(&mut self, view: &View, demand: Demand) -> Result<Ticket, Refusal> {
        if self.mode == Mode::Open {
            return Ok(Ticket { demand, entry: 0, cost: Room::default(), mod_revision: None });
        }
        let refuse = |reason, retry_after_s| Err(Refusal { reason, retry_after_s });
        let held = view.held(&demand.team, &self.controller);
        let Some(held) = held.filter(|held| held.allotment.incarnation == self.incarnation) else {
            return refuse(Reason::NoAllotment, SOON_S);
        };
        let Some(entry) = held.allotment.entry_of(&demand.class) else {
            return refuse(Reason::NoAllotment, SOON_S);
        };
        let spending = self.spending.entry(demand.team.clone()).or_default();
        if spending.mod_revision != held.mod_revision {
            let used = vec![Room::default(); held.allotment.classes.len()];
            *spending = Spending { mod_revision: held.mod_revision, used, moved: false };
        }
        if spending.moved {
            return refuse(Reason::Moved, SOON_S);
        }
        let class = &held.allotment.classes[entry];
        if !class.room().minus(spending.used[entry]).is_open() {
            return refuse(Reason::Full, class.wait_s.max(SOON_S));
        }
        let cost = demand.cost(held.allotment.horizon_s);
        spending.used[entry] = spending.used[entry].plus(cost);
        Ok(Ticket { demand, entry, cost, mod_revision: Some(held.mod_revision) })
    }

    /// Whether a ticket still holds. One that does not is settled as not used, and its
    /// submission asks again.
    pub fn is_current(&self, view: &View, ticket: &Ticket) -> bool {
        match (self.mode, ticket.mod_revision) {
            (Mode::Open, _) => true,
            (Mode::Allotted, None) => false,
            (Mode::Allotted, Some(mod_revision)) => {
                let held = view.held(&ticket.demand.team, &self.controller);
                let moved = self.spending.get(&ticket.demand.team).is_some_and(|s| s.moved);
                held.is_some_and(|held| held.mod_revision == mod_revision) && !moved
            }
        }
    }

    /// What became of the acceptance that a ticket was for.
    pub fn settle(&mut self, ticket: &Ticket, outcome: Outcome) {
        let Some(spending) = self.spending.get_mut(&ticket.demand.team) else { return };
        if outcome == Outcome::NotUsed && Some(spending.mod_revision) == ticket.mod_revision {
            let used = &mut spending.used[ticket.entry];
            *used = used.minus(ticket.cost);
        }
    }

    /// An acceptance was refused since its ticket's allotment has moved on. Nothing more is
    /// admitted out of it.
    pub fn moved(&mut self, ticket: &Ticket) {
        if let Some(spending) = self.spending.get_mut(&ticket.demand.team) {
            spending.moved |= Some(spending.mod_revision) == ticket.mod_revision;
        }
    }

    /// Asks again for what a ticket no longer holds.
    ///
    /// # Errors
    ///
    /// If there is no room for it now.
    pub fn renew(&mut self, view: &View, ticket: Ticket) -> Result<Ticket, Refusal> {
        self.settle(&ticket, Outcome::NotUsed);
        self.admit(view, ticket.demand)
    }

    /// Whether this controller has used up what the leader takes for unspent. What became of some
    /// acceptances was never heard, and they were not carried out; or jobs that were accepted
    /// and have ended were never read of. The leader does not replace the record by itself.
    pub fn is_misjudged(&self, view: &View, team: &str) -> bool {
        let Some(held) = view.held(team, &self.controller) else { return false };
        let left = self.left(view, team);
        left.iter().enumerate().any(|(entry, left)| {
            !left.is_open()
                && held.allotment.classes[entry].room().is_open()
                && held.unspent(entry).is_open()
        })
    }

    /// What is left of a team's allotment here, by entry.
    pub fn left(&self, view: &View, team: &str) -> Vec<Room> {
        let held = view.held(team, &self.controller);
        let Some(held) = held.filter(|held| held.allotment.incarnation == self.incarnation) else {
            return Vec::new();
        };
        let spending = self.spending.get(team).filter(|s| s.mod_revision == held.mod_revision);
        let used = |entry| spending.map_or(Room::default(), |s| s.used[entry]);
        let classes = held.allotment.classes.iter().enumerate();
        classes.map(|(entry, class)| class.room().minus(used(entry))).collect()
    }
}
