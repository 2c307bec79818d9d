//! What this controller may accept: its allotments, and submissions that wait for the next one.

use super::*;
use crate::events::AdmissionEvent;
use basaltrail_admission::{Allotment, Gate, Mode, Outcome, Reason, Refusal, Ticket};

/// The longest that somebody is told to wait, in seconds; PROTOCOL's users follow no more.
const RETRY_MOST_S: u32 = 30;

/// This controller's side of admission.
pub(super) struct ControllerAdmission {
    gate: Gate,
    controller: String,
    incarnation: u64,
    /// A record of this process is on its way.
    announcing: bool,
    next_announcement: Ms,
    /// An allotment is used up here and not for the leader: this process writes its record
    /// again, which asks for another, once a round at most.
    asks_again: bool,
    next_ask: Ms,
    /// Submissions told to come back since the last line about it, by reason.
    refused: BTreeMap<Reason, u64>,
    /// The same by team, since the process began.
    refused_by_team: Vec<u64>,
    next_log: Ms,
    /// Records that could not be read are logged once each.
    unreadable: BTreeSet<String>,
}

impl ControllerAdmission {
    /// Until a leader is seen, a controller goes by its own policy: where allotments are to bind, it
    /// accepts nothing before it has one.
    pub(super) fn new(cfg: &Settings) -> Self {
        let mode = match cfg.policy.admission {
            Some(_) => Mode::Allotted,
            None => Mode::Open,
        };
        ControllerAdmission {
            gate: Gate::new(&cfg.controller, cfg.incarnation, mode),
            controller: cfg.controller.clone(),
            incarnation: cfg.incarnation,
            announcing: false,
            next_announcement: 0,
            asks_again: false,
            next_ask: 0,
            refused: BTreeMap::new(),
            refused_by_team: vec![0; cfg.teams.len()],
            next_log: 0,
            unreadable: BTreeSet::new(),
        }
    }

    pub(super) fn binds(&self) -> bool {
        self.gate.mode() == Mode::Allotted
    }

    pub(super) fn admit(
        &mut self,
        job_cache: &JobCache,
        spec: &JobSpec,
    ) -> Result<Ticket, Refusal> {
        let admitted = self.gate.admit(&job_cache.admission, spec.demand());
        if matches!(admitted, Err(Refusal { reason: Reason::Full, .. })) {
            self.asks_again |= self.gate.is_misjudged(&job_cache.admission, &spec.team);
        }
        admitted
    }

    pub(super) fn is_current(&self, job_cache: &JobCache, new: &NewJob) -> bool {
        self.gate.is_current(&job_cache.admission, &new.ticket)
    }

    /// What must still be so when the job is accepted.
    pub(super) fn condition(&self, new: &NewJob) -> Option<Precondition> {
        let (team, mod_revision) = new.ticket.condition()?;
        Some(Precondition::new(allotment_key(team, &self.controller), mod_revision))
    }

    pub(super) fn settle(&mut self, new: &NewJob, outcome: Outcome) {
        self.gate.settle(&new.ticket, outcome);
    }

    /// Whether an acceptance failed since its allotment has moved on.
    pub(super) fn conflicts(&mut self, new: &NewJob, failed: &[String]) -> bool {
        let moved = self.condition(new).is_some_and(|p| failed.contains(&p.key));
        if moved {
            self.gate.moved(&new.ticket);
        }
        moved
    }

    /// When the user of a submission is told to come back. Those who are refused together do
    /// not return together.
    pub(super) fn refuse(&mut self, rng: &mut SmallRng, refusal: Refusal) -> Answer {
        let Refusal { reason, retry_after_s } = refusal;
        *self.refused.entry(reason).or_default() += 1;
        let spread = rng.random_range(0..=retry_after_s / 2 + 1);
        let retry_after_s = (retry_after_s + spread).clamp(1, RETRY_MOST_S);
        let why = match reason {
            Reason::Full => "the team's backlog is full",
            Reason::Moved => "its allotment moves",
            Reason::NoAllotment => "no allotment yet",
        };
        Answer::Unavailable { retry_after_s, why }
    }

    /// Whether this process has to write that it is there.
    fn announcement_due(&self, job_cache: &JobCache, now: Ms) -> bool {
        let known = job_cache.admission.presence(&self.controller);
        let told = known.is_some_and(|(incarnation, _)| incarnation == self.incarnation);
        let due = match told {
            true => self.asks_again && now >= self.next_ask,
            false => now >= self.next_announcement,
        };
        self.binds() && !self.announcing && due
    }

    /// Its record was written, or was not: the watch tells.
    pub(super) fn announced(&mut self, now: Ms, cfg: &Settings) {
        self.announcing = false;
        self.asks_again = false;
        self.next_announcement = now + cfg.heartbeat_interval_ms / 4;
        self.next_ask = now + (cfg.policy.round_s * 1000.0) as Ms;
    }

    pub(super) fn refused_of(&self, team: usize) -> u64 {
        self.refused_by_team.get(team).copied().unwrap_or(0)
    }

    /// What is left of a team's allotment here, by entry.
    pub(super) fn left(&self, job_cache: &JobCache, team: &str) -> Vec<basaltrail_admission::Room> {
        self.gate.left(&job_cache.admission, team)
    }
}

impl Controller {
    /// Whether allotments bind is the leader's to say; a controller of an earlier version that leads
    /// hands out none.
    pub(super) fn follow_admission(&mut self) {
        if let Some(allots) = self.election.leader_allots() {
            let mode = if allots { Mode::Allotted } else { Mode::Open };
            if mode != self.admission.gate.mode() {
                self.admission.gate.set_mode(mode);
                if allots {
                    // What was written of allotments before is listed only where they bind.
                    self.job_watch.compacted();
                }
                self.calls.log(AdmissionEvent::Mode { quotas_bind: allots });
            }
        }
        if self.job_watch.is_loaded()
            && self.admission.announcement_due(&self.job_cache, self.now)
            && self.calls.pay(self.now, CallPriority::Request)
            && self.calls.writes.take(self.now, 1.0, CallPriority::Request)
        {
            self.announce();
        }
        self.log_refusals();
    }

    fn announce(&mut self) {
        self.admission.announcing = true;
        let ControllerAdmission { controller, incarnation, .. } = &self.admission;
        let record = ControllerRecord { controller: controller.clone(), incarnation: *incarnation };
        // An earlier process of this name that is late changes nothing: the mod revision has moved on.
        let mod_revision = self
            .job_cache
            .admission
            .presence(controller)
            .map_or(Revision::NONE, |(_, mod_revision)| mod_revision);
        let key = controller_key(controller);
        let op = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(key.clone(), mod_revision)],
            puts: vec![PutRequest { key, value: encode(&record), lease_id: None }],
            deletes: Vec::new(),
        };
        self.calls.state(Purpose::Announce, op, self.cfg.leader_lease_ms() / 4);
    }

    /// Takes the record of a process or an allotment.
    pub(super) fn apply_admission(&mut self, item: &KeyValue, in_order: bool) {
        let readable = if item.key.starts_with(&format!("{ADMISSION_PREFIX}n/")) {
            decode::<ControllerRecord>(&item.value).map(|record| {
                self.job_cache.admission.learn_controller(
                    &record.controller,
                    record.incarnation,
                    item.mod_revision,
                );
            })
        } else {
            let allotment = decode::<Allotment>(&item.value).filter(Allotment::is_sound);
            allotment.map(|allotment| {
                self.job_cache.put_allotment(allotment, item.mod_revision, in_order)
            })
        };
        if readable.is_none() {
            // Nothing is accepted on it: whatever stood there before has another mod revision.
            self.lose_allotment(&item.key, item.mod_revision);
        }
    }

    fn lose_allotment(&mut self, key: &str, mod_revision: Revision) {
        for team in &self.cfg.teams {
            for controller in self.job_cache.admission.controller_names() {
                if allotment_key(&team.name, &controller) == key {
                    self.job_cache.admission.lose_allotment(&team.name, &controller, mod_revision);
                }
            }
        }
        if self.admission.unreadable.len() < self.cfg.max_active_jobs()
            && self.admission.unreadable.insert(key.to_string())
        {
            self.calls.log(AdmissionEvent::QuotaUnreadable { key: key.to_string() });
        }
    }

    /// Submissions whose allotment has moved on ask again; they wait for the next one for a
    /// moment only.
    pub(super) fn renew_moved(&mut self) {
        for new in std::mem::take(&mut self.requests.moved) {
            let NewJob { job, spec, asks, alone, ticket, waits_until } = new;
            match self.admission.gate.renew(&self.job_cache.admission, ticket.clone()) {
                Ok(ticket) => {
                    let new = NewJob { job, spec, asks, alone, ticket, waits_until };
                    self.requests.submits.push(new);
                }
                Err(refusal) if refusal.reason == Reason::Moved && self.now < waits_until => {
                    let new = NewJob { job, spec, asks, alone, ticket, waits_until };
                    self.requests.moved.push(new);
                }
                Err(refusal) => {
                    self.count_refusal(&spec.team);
                    let refused = Some(Rejection::Later(refusal));
                    let asks =
                        asks.into_iter().map(|ask| ClientRequest { refused, ..ask }).collect();
                    self.requests.check_again(job, asks);
                }
            }
        }
    }

    pub(super) fn count_refusal(&mut self, team: &str) {
        if let Some(team) = self.cfg.team(team) {
            self.admission.refused_by_team[team] += 1;
        }
    }

    /// One line a round about submissions that were told to come back.
    fn log_refusals(&mut self) {
        if self.now < self.admission.next_log {
            return;
        }
        self.admission.next_log = self.now + (self.cfg.policy.round_s * 1000.0) as Ms;
        let refused = std::mem::take(&mut self.admission.refused);
        if refused.is_empty() {
            return;
        }
        self.calls.log(AdmissionEvent::Refused { reasons: refused.into_iter().collect() });
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
