//! The plan for the loss of a whole site, a decision module of its own: when a site counts as lost, where its load
//! goes, what is refused first when the others can't carry it, and how its return is paced.
//!
//! Sans-I/O like `policy`: times are milliseconds on the engine's clock, randomness comes from a seed. The engine says
//! what it sees of each call server ([`Recovery::heard`], [`Recovery::down`], [`Recovery::report`]), asks about each
//! new call ([`Recovery::call`]), and tells the percent-blocking module only of the call servers that are candidates
//! ([`Recovery::candidate`]). That module keeps deciding *b* and where each call goes; the plan shapes which call
//! servers it may choose from, and which of them a call asks for first. Processes share nothing: each goes by what it
//! sees, and takes its own part of every room by figures that are the same for all.
//!
//! `site` has one site's state, `spread` where a load goes, `plan` the dry run for operators, `settings` the file.

mod plan;
mod settings;
mod site;
mod spread;

pub use plan::{DryRun, Mix, dry_run};
pub use settings::{LossSettings, RefusalSettings, ReturnSettings, SiteEntry, SiteSettings};
pub use site::{Seen, Site, State};
pub use spread::{Spread, spread};

use crate::interface::{Listed, LoadReport, ServerId};
use crate::worth::WorthMix;
use std::collections::BTreeMap;

/// A returning site is a candidate for its share of each slice of time so long, ms; each process has a phase of its
/// own, so that all together send it their share at any moment.
const SLICE_MS: f64 = 1000.0;

/// A word of pressure holds for so long, ms: reports come with calls.
const PRESSED_MS: f64 = 1000.0;
/// The plan's refusals rise from none to all in this time under pressure, and fall so slowly without, ms.
const PART_RISES_MS: f64 = 1000.0;
const PART_FALLS_MS: f64 = 4000.0;

/// A call server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its number here.
    pub id: ServerId,
    /// Its name and zone in the list.
    pub name: String,
    /// See `name`.
    pub zone: Option<String>,
    /// The number by which calls ask for it first.
    pub place: u32,
    /// Whether it drains.
    pub state: Listed,
}

/// What is known of a call server.
#[derive(Clone, Debug)]
struct Known {
    site: Option<usize>,
    place: u32,
    ready: bool,
    /// When it last said anything, and when it was last seen to be down, ms.
    heard_at: f64,
    down_at: f64,
    /// Set-ups a second that it can take from all, as last reported.
    can_take: Option<f64>,
}

impl Known {
    fn down(&self) -> bool {
        self.down_at.is_finite() && self.heard_at <= self.down_at
    }

    fn up(&self) -> bool {
        self.heard_at > self.down_at
    }
}

/// What is to be done with a new call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the percent-blocking module, asking first for the call server at this place.
    Take {
        /// The place, if it asks for any.
        first_choice: Option<u32>,
    },
    /// There is no room for it: it is refused at once.
    Refuse {
        /// The advice, ms, before the settings' bound.
        stay_away_ms: f64,
    },
}

/// A site's change, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The site.
    pub site: String,
    /// How it stands now.
    pub state: State,
    /// What was seen of its call servers.
    pub seen: Seen,
}

/// A site for operators' figures.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteFigures {
    /// The site.
    pub site: String,
    /// How it stands.
    pub state: State,
    /// The share of its load that it gets, 0 to 1.
    pub share: f64,
    /// Calls that asked for it first and were sent elsewhere.
    pub moved: u64,
}

/// The plan's part of operators' figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryFigures {
    /// By site, in the file's order.
    pub sites: Vec<SiteFigures>,
    /// Calls refused since the sites that are left have no room.
    pub refused: u64,
    /// The share of all calls that is refused now, the lowest worth first.
    pub refused_share: f64,
}

/// What is done while a site is not up, worked out at each look.
#[derive(Clone, Debug, Default)]
struct Plan {
    /// Share of all calls refused, the lowest worth first.
    refused: f64,
    /// By lost site: the sites that take its load, each with its part.
    routes: Vec<Vec<(usize, f64)>>,
    /// No site is left: the plan steps back, and the module decides alone.
    suspended: bool,
}

/// The plan of one process.
#[derive(Debug)]
pub struct Recovery {
    settings: SiteSettings,
    sites: Vec<Site>,
    moved: Vec<u64>,
    servers: BTreeMap<ServerId, Known>,
    /// Calls by the site that they ask for first, and all calls.
    demand: Vec<WorthMix>,
    mix: WorthMix,
    plan: Plan,
    refused: u64,
    /// Part of the plan's refusals that is carried out, 0 to 1, and when a call server last told of pressure, ms.
    part: f64,
    pressed_at: f64,
    looked_at: f64,
    fleet: f64,
    phase: f64,
    rng: fastrand::Rng,
}

impl Recovery {
    /// A plan under these settings; `seed` is the process's own.
    #[must_use]
    pub fn new(settings: SiteSettings, seed: u64) -> Self {
        let n = settings.sites.len();
        let window_ms = settings.refusal.window_ms;
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x7369_7465);
        Recovery {
            sites: vec![Site::default(); n],
            moved: vec![0; n],
            servers: BTreeMap::new(),
            demand: vec![WorthMix::new(window_ms); n],
            mix: WorthMix::new(window_ms),
            plan: Plan { routes: vec![Vec::new(); n], ..Plan::default() },
            refused: 0,
            part: 1.0,
            pressed_at: f64::NEG_INFINITY,
            looked_at: f64::INFINITY,
            fleet: 1.0,
            phase: rng.f64(),
            rng,
            settings,
        }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &SiteSettings {
        &self.settings
    }

    /// The whole list, as it is from now on.
    pub fn listed(&mut self, entries: &[Entry]) {
        self.servers.retain(|id, _| entries.iter().any(|e| e.id == *id));
        for e in entries {
            let site = self.settings.site_of(&e.name, e.zone.as_deref());
            let known = self.servers.entry(e.id).or_insert(Known {
                site,
                place: e.place,
                ready: true,
                heard_at: f64::NEG_INFINITY,
                down_at: f64::NEG_INFINITY,
                can_take: None,
            });
            (known.site, known.place, known.ready) = (site, e.place, e.state == Listed::Ready);
        }
    }

    /// A call server said something at `now`, ms.
    pub fn heard(&mut self, server: ServerId, now: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.heard_at = now;
        }
    }

    /// A call server is seen to be down at `now`, ms: it can't be reached, or is silent while work waits there.
    pub fn down(&mut self, server: ServerId, now: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.down_at = now;
        }
    }

    /// Whether a call server was seen to be down and has said nothing since: only a word shows that it is back.
    #[must_use]
    pub fn is_down(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(Known::down)
    }

    /// A call server told its load at `now`, ms.
    pub fn report(&mut self, server: ServerId, report: &LoadReport, now: f64) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.can_take = report.can_take.filter(|n| n.is_finite() && *n >= 0.0).or(s.can_take);
        if report.wait_ms.is_some_and(|wait| wait >= self.settings.refusal.calm_ms) {
            self.pressed_at = now;
        }
        let pressed = report.wait_ms.is_some_and(|wait| wait > self.settings.back.wait_ms);
        if let Some(site) = s.site.filter(|_| pressed) {
            self.sites[site].pressed(now);
        }
    }

    fn seen(&self, site: usize) -> Seen {
        let here = self.servers.values().filter(|s| s.site == Some(site));
        here.fold(Seen::default(), |seen, s| Seen {
            servers: seen.servers + 1,
            down: seen.down + usize::from(!s.ready || s.down()),
            up: seen.up + usize::from(s.ready && s.up()),
        })
    }

    /// Moves on to `now`, ms, in a fleet of so many border controllers, this one included: the sites that changed.
    pub fn look(&mut self, now: f64, fleet: u32) -> Vec<Change> {
        self.fleet = f64::from(fleet.max(1));
        let mut changes = Vec::new();
        let others_pressed = self.sites.iter().any(|s| s.state() == State::Up && s.is_pressed(now));
        for i in 0..self.sites.len() {
            let seen = self.seen(i);
            if let Some(state) =
                self.sites[i].look(now, seen, others_pressed, &self.settings.loss, &self.settings.back)
            {
                changes.push(Change { site: self.settings.sites[i].name.clone(), state, seen });
            }
        }
        self.weigh_pressure(now);
        self.replan(now);
        changes
    }

    /// This process's rate of calls that ask for a site first, a second.
    fn rate(&mut self, site: usize, now: f64) -> f64 {
        self.demand[site].per_s(now)
    }

    /// The whole fleet's usual rate of calls that ask for a site first, a second.
    fn usual(&mut self, site: usize, now: f64) -> f64 {
        self.settings.sites[site].usual_per_s.unwrap_or_else(|| self.rate(site, now) * self.fleet)
    }

    /// Set-ups a second, from the whole fleet, that a site can take beyond its own; infinite where nothing is known.
    fn room(&mut self, site: usize, now: f64) -> f64 {
        if self.sites[site].state() != State::Up {
            return 0.0;
        }
        let serve = |s: &&Known| s.site == Some(site) && s.ready && !s.down();
        let told: Vec<Option<f64>> = self.servers.values().filter(serve).map(|s| s.can_take).collect();
        let whole: Option<f64> = told.into_iter().sum();
        let fill = self.settings.refusal.fill;
        let usual = self.usual(site, now);
        let measured = whole.filter(|&n| n > 0.0).map_or(f64::INFINITY, |n| (n * fill - usual).max(0.0));
        measured.min(self.settings.sites[site].spare_per_s.unwrap_or(f64::INFINITY))
    }

    /// At the loss of a site all of the plan's refusals are carried out: reports are late, and the others fill up at
    /// once. Then they go by the reports: an instance that alone lost its way to a site refuses nothing for long.
    fn weigh_pressure(&mut self, now: f64) {
        let since = (now - self.looked_at).max(0.0);
        self.looked_at = now;
        if self.sites.iter().all(|s| s.state() == State::Up) {
            self.part = 1.0;
        } else if now - self.pressed_at < PRESSED_MS {
            self.part = (self.part + since / PART_RISES_MS).min(1.0);
        } else {
            self.part = (self.part - since / PART_FALLS_MS).max(0.0);
        }
    }

    fn replan(&mut self, now: f64) {
        let n = self.sites.len();
        self.plan = Plan { routes: vec![Vec::new(); n], ..Plan::default() };
        if self.sites.iter().all(|s| s.state() == State::Up) {
            return;
        }
        if self.sites.iter().all(|s| s.state() == State::Lost) {
            self.plan.suspended = true;
            return;
        }
        let mut room: Vec<f64> = (0..n).map(|site| self.room(site, now)).collect();
        let mut refused_per_s = 0.0;
        for site in 0..n {
            let away = 1.0 - self.sites[site].share(&self.settings.back);
            if away <= 0.0 {
                continue;
            }
            let load = self.usual(site, now) * away;
            let spread = spread(load, &self.settings.tiers(site), &mut room);
            if load > 0.0 {
                refused_per_s += self.rate(site, now) * away * spread.rest / load;
            }
            self.plan.routes[site] = spread.takes;
        }
        let all_per_s = self.mix.per_s(now);
        if all_per_s > 0.0 {
            self.plan.refused = (self.part * refused_per_s / all_per_s).min(1.0);
        }
    }

    /// Whether the percent-blocking module may choose this call server at `now`, ms, for all the plan says.
    #[must_use]
    pub fn candidate(&self, server: ServerId, now: f64) -> bool {
        match self.servers.get(&server).and_then(|s| s.site) {
            Some(site) if !self.plan.suspended => self.open(site, now),
            _ => true,
        }
    }

    /// Where `now` is in this process's slice, 0 to 1.
    fn in_slice(&self, now: f64) -> f64 {
        (now / SLICE_MS + self.phase).rem_euclid(1.0)
    }

    fn open(&self, site: usize, now: f64) -> bool {
        match self.sites[site].state() {
            State::Up => true,
            State::Lost => false,
            State::Returning => self.in_slice(now) < self.sites[site].share(&self.settings.back),
        }
    }

    /// When a returning site next becomes a candidate or ceases to be one, ms; none returns: none.
    #[must_use]
    pub fn next_turn(&self, now: f64) -> Option<f64> {
        let at = self.in_slice(now);
        let turn = |site: &Site| {
            let share = site.share(&self.settings.back);
            let to = if at < share { share } else { 1.0 };
            now + ((to - at) * SLICE_MS).max(1.0)
        };
        let returning = self.sites.iter().filter(|s| s.state() == State::Returning);
        returning.map(turn).reduce(f64::min)
    }

    /// A new call of this worth at `now`, ms, that asks first for the call server at `first_choice`, and may be served
    /// at the places of which `takes` is true; `out` tells how many set-ups of ours are out at a call server.
    pub fn call(
        &mut self,
        worth: f64,
        first_choice: Option<u32>,
        takes: impl Fn(u32) -> bool,
        out: impl Fn(ServerId) -> usize,
        now: f64,
    ) -> Verdict {
        self.mix.count(worth, now);
        let home = first_choice
            .and_then(|place| self.servers.values().find(|s| s.place == place))
            .and_then(|s| s.site);
        if let Some(site) = home {
            self.demand[site].count(worth, now);
        }
        let share = self.plan.refused;
        if share > 0.0 && self.rng.f64() < self.mix.refused(worth, share, now) {
            self.refused += 1;
            return Verdict::Refuse { stay_away_ms: self.settings.refusal.stay_away_ms };
        }
        let away = home.filter(|&site| !self.plan.suspended && !self.open(site, now));
        let Some(site) = away else { return Verdict::Take { first_choice } };
        self.moved[site] += 1;
        Verdict::Take { first_choice: self.elsewhere(site, takes, out) }
    }

    /// The place that a lost site's call asks for first: the call server with the fewest set-ups of ours out, of a site
    /// drawn by what each takes. Where the file gives no order of sites it asks for none, and the percent-blocking
    /// module chooses among all that are left.
    fn elsewhere(
        &mut self,
        lost: usize,
        takes: impl Fn(u32) -> bool,
        out: impl Fn(ServerId) -> usize,
    ) -> Option<u32> {
        if self.settings.sites[lost].fallback.is_empty() {
            return None;
        }
        let serves = |s: &Known, site: usize| s.site == Some(site) && s.ready && !s.down() && takes(s.place);
        let able: Vec<(usize, f64)> = self.plan.routes[lost]
            .iter()
            .copied()
            .filter(|&(site, _)| self.servers.values().any(|s| serves(s, site)))
            .collect();
        let mut draw = self.rng.f64() * able.iter().map(|a| a.1).sum::<f64>();
        let drawn = able.iter().find(|(_, part)| {
            draw -= part;
            draw < 0.0
        });
        let site = drawn.or(able.last()).map(|a| a.0)?;
        let here = self.servers.iter().filter(|(_, s)| serves(s, site));
        here.min_by_key(|(id, s)| (out(**id), s.place)).map(|(_, s)| s.place)
    }

    /// What operators read.
    #[must_use]
    pub fn figures(&self) -> RecoveryFigures {
        let one = |(i, site): (usize, &Site)| SiteFigures {
            site: self.settings.sites[i].name.clone(),
            state: site.state(),
            share: site.share(&self.settings.back),
            moved: self.moved[i],
        };
        RecoveryFigures {
            sites: self.sites.iter().enumerate().map(one).collect(),
            refused: self.refused,
            refused_share: self.plan.refused,
        }
    }
}

#[cfg(test)]
mod tests;
