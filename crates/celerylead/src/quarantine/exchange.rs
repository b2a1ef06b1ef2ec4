//! Exchange of evidence and verdicts with the other hosts.
//!
//! News is told to all hosts at once, and repeated with the gossip to each host
//! for a while, so that a lost message costs only time. Verdicts in force are
//! repeated for as long as they last.

use std::{cmp::Reverse, time::Duration};

use super::{
    ambiguity::{AmbiguityGroup, MAX_MEMBERS},
    crash::CrashWitness,
    ledger::{
        Clearance, HeldVerdict, LedgerEvent, MAX_VERDICTS, REPEAT_TIME,
        SuspectLedger,
    },
    part::PartId,
    report::{
        ClearanceBasis, ClearanceRow, CrashRow, EvidenceReport, GroupRow,
        KeptVerdict, SignRow, VerdictRow, WitnessRow,
    },
    signs::RunnerSign,
    verdict::{MAX_TERM, PartVerdict, VerdictState},
};
use crate::{clock::EpochMillis, roster::RunnerStart};

/// Time in which each other host is sent gossip at least once.
const ROUND_TIME: Duration = Duration::from_millis(440);
/// Shortest time between two repetitions of a verdict in force, for hosts that
/// have started or were cut off since.
const MIN_REPEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two repetitions by host of the fleet: a host hears twenty a
/// second, however many hosts there are.
const REPEAT_PERIOD_PER_HOST: Duration = Duration::from_millis(50);
/// Difference between two ends of the same term that transfer may cause.
const TERM_TOLERANCE: Duration = Duration::from_millis(1_000);
/// Time after the last crash for which hosts repeat which suspected parts were
/// sound, as long as they repeat the verdicts.
const SOUND_REPEAT_TIME: Duration = Duration::from_secs(30);
/// Time for which news is gathered before it is told to all hosts at once.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Shortest time between two such tellings.
const MIN_TELL_PERIOD: Duration = Duration::from_millis(100);
/// Most rows of each kind in a report.
const MAX_ROWS: usize = 48;
/// Most groups in a report; each may have [`MAX_MEMBERS`] parts.
const MAX_GROUPS: usize = 8;

/// When the other hosts are told what.
#[derive(Debug)]
pub(super) struct NewsSchedule {
    /// Signs that are repeated to the other hosts, with the time of the sign
    /// and the time until which it is repeated.
    signs: Vec<(RunnerStart, RunnerSign, [EpochMillis; 2])>,
    /// Position of this host in the period of repetitions, from 0 to 1.
    phase: f64,
    /// Time from which the verdicts in force are repeated.
    repeat_at: EpochMillis,
    /// Time at which news is told to all other hosts at once, if there is any.
    tell_at: Option<EpochMillis>,
    /// Time until which further news waits.
    quiet_until: EpochMillis,
}

impl NewsSchedule {
    pub(super) fn new(phase: f64, now: EpochMillis) -> NewsSchedule {
        NewsSchedule {
            signs: Vec::new(),
            phase,
            repeat_at: now,
            tell_at: None,
            quiet_until: now,
        }
    }

    /// Lets the other hosts be told the news at once. What a crash ends within
    /// moments is told together.
    pub(super) fn tell_soon(&mut self, now: EpochMillis) {
        let at = now.after(GATHER_TIME).max(self.quiet_until);
        self.tell_at.get_or_insert(at);
    }

    /// Repeats a sign to the other hosts.
    pub(super) fn repeat_sign(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        times: [EpochMillis; 2],
    ) {
        self.signs.retain(|(known, kind, _)| known != start || *kind != sign);
        if self.signs.len() < MAX_ROWS {
            self.signs.push((start.clone(), sign, times));
        }
    }

    /// Ends the repetitions that are over.
    pub(super) fn advance(&mut self, now: EpochMillis) {
        self.signs.retain(|(_, _, [_, until])| now < *until);
    }

    /// Returns the signs that are repeated.
    fn signs(&self, now: EpochMillis) -> Vec<SignRow> {
        let signs = self.signs.iter();
        signs
            .map(|(start, sign, [at, _])| SignRow {
                start: start.clone(),
                sign: *sign,
                ago_ms: ago_ms(*at, now),
            })
            .collect()
    }

    /// Returns whether all verdicts in force are repeated now, in a fleet of
    /// this many hosts, and plans the next time.
    fn repeats_all(&mut self, hosts: usize, now: EpochMillis) -> bool {
        let repeats_all = self.repeat_at <= now;
        if self.repeat_at.after(ROUND_TIME) <= now {
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            let period = REPEAT_PERIOD_PER_HOST.saturating_mul(hosts);
            // The first pause has a random length, so that hosts which adopted
            // a verdict together don't repeat it together.
            let pause =
                MIN_REPEAT_PERIOD.max(period).mul_f64(0.5 + self.phase);
            self.phase = 0.5;
            self.repeat_at = now.after(pause);
        }
        repeats_all
    }
}

impl SuspectLedger {
    /// Returns the time at which the other hosts are to be told the news without
    /// waiting for their turn, if there is any.
    pub fn tell_at(&self) -> Option<EpochMillis> {
        self.news.tell_at
    }

    /// Notes that the other hosts are told the news now.
    pub fn begin_telling(&mut self, now: EpochMillis) {
        self.news.tell_at = None;
        self.news.quiet_until = now.after(MIN_TELL_PERIOD);
    }

    /// Applies what another host reports.
    pub fn merge(
        &mut self,
        report: &EvidenceReport,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let ago = |ms| now.before(Duration::from_millis(ms));
        let mut events = Vec::new();
        for ClearanceRow { part, ago_ms, basis } in &report.cleared {
            let cleared = (ago(*ago_ms), *basis);
            let unrepeated = EpochMillis::default();
            events.extend(self.clear(*part, cleared, unrepeated));
        }
        for SignRow { start, sign, ago_ms } in &report.signs {
            let at = ago(*ago_ms);
            self.signs.record(start, *sign, at);
            events.extend(self.explain_unframed(start, *sign, at, now));
            self.apply_sign(start, *sign, at);
        }
        for CrashRow { start, ended_ago_ms, witnesses } in &report.crashes {
            for row in witnesses {
                let WitnessRow { parts, is_partial, begun, sent_ago_ms } = row;
                let witness = CrashWitness {
                    parts: parts.clone(),
                    is_partial: *is_partial,
                    begun: *begun,
                    sent_at: ago(*sent_ago_ms),
                };
                let ended = (ago(*ended_ago_ms), EpochMillis::default());
                self.add_witness(start, &witness, ended, now);
            }
        }
        for row in &report.verdicts {
            events.extend(self.adopt_group(&[row.part], row, 0, now));
        }
        for GroupRow { parts, narrowed, verdict } in &report.groups {
            events.extend(self.adopt_group(parts, verdict, *narrowed, now));
        }
        events.extend(self.weigh(now));
        events
    }

    /// Returns what the other hosts, `hosts` with this one, should be told,
    /// and makes the transitions that are due.
    pub fn report(
        &mut self,
        hosts: usize,
        now: EpochMillis,
    ) -> (EvidenceReport, Vec<LedgerEvent>) {
        let mut events = self.advance(now);
        events.extend(self.weigh(now));
        let repeats_all = self.news.repeats_all(hosts, now);
        let repeated = |until: EpochMillis| now < until;
        let ago = |at: EpochMillis| ago_ms(at, now);
        let in_force = self.verdicts.iter().filter(|(_, held)| {
            held.state.until().is_some()
                && (repeats_all || repeated(held.repeat_until))
        });
        let is_single = |held: &HeldVerdict| held.group.others().is_empty();
        let verdicts = in_force
            .clone()
            .filter(|(_, held)| is_single(held))
            .map(|(part, held)| verdict_row(*part, &held.state, now))
            .take(MAX_ROWS)
            .collect();
        let groups = in_force
            .filter(|(part, held)| {
                !is_single(held) && held.group.lead(**part) == **part
            })
            .map(|(part, held)| GroupRow {
                parts: held.group.members(*part),
                narrowed: held.group.narrowed(),
                verdict: verdict_row(*part, &held.state, now),
            })
            .take(MAX_GROUPS)
            .collect();
        // A host that has started since doesn't know which parts were sound.
        let tells_sound = repeats_all
            && self
                .crashes
                .last_end()
                .is_some_and(|at| now < at.after(SOUND_REPEAT_TIME));
        let mut cleared: Vec<(&PartId, &Clearance)> = self
            .cleared
            .iter()
            .filter(|(_, held)| {
                let is_sound = held.basis == ClearanceBasis::SoundAnswer;
                repeated(held.repeat_until) || (tells_sound && is_sound)
            })
            .collect();
        cleared.sort_by_key(|(_, held)| {
            (!repeated(held.repeat_until), Reverse(held.at))
        });
        let cleared = cleared
            .into_iter()
            .flat_map(|(part, held)| clearance_rows(*part, held, now))
            .take(MAX_ROWS)
            .collect();
        let signs = self.news.signs(now);
        let mut crashes: Vec<CrashRow> = Vec::new();
        let repeated = self.crashes.repeated(now).take(MAX_ROWS);
        for (start, ended_at, witness) in repeated {
            let row = WitnessRow {
                parts: witness.parts.clone(),
                is_partial: witness.is_partial,
                begun: witness.begun,
                sent_ago_ms: ago(witness.sent_at),
            };
            match crashes.last_mut() {
                Some(last) if last.start == *start => last.witnesses.push(row),
                _ => crashes.push(CrashRow {
                    start: start.clone(),
                    ended_ago_ms: ago(ended_at),
                    witnesses: vec![row],
                }),
            }
        }
        (EvidenceReport { crashes, signs, cleared, verdicts, groups }, events)
    }

    /// Returns the verdicts in force as they are kept for hosts that start.
    pub fn kept_verdicts(&self, now: EpochMillis) -> Vec<KeptVerdict> {
        let verdicts = self.verdicts.iter();
        verdicts
            .map(|(part, held)| {
                let row = verdict_row(*part, &held.state, now);
                KeptVerdict::of(&row, held.group.others(), now)
            })
            .collect()
    }

    /// Adopts a verdict of another host on these parts, of which one at least is
    /// the cause. If this host knows a group with one of them, the cause is
    /// among the parts that both have.
    fn adopt_group(
        &mut self,
        parts: &[PartId],
        row: &VerdictRow,
        narrowed: u32,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let sent_at = now.before(Duration::from_millis(row.sent_ago_ms));
        let mut parts: Vec<PartId> =
            parts.iter().copied().take(MAX_MEMBERS).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.retain(|part| match self.cleared.get_mut(part) {
            Some(held) if sent_at <= held.at => {
                held.repeat_until = now.after(REPEAT_TIME);
                false
            }
            _ => true,
        });
        let mut events = Vec::new();
        let known = parts.iter().find_map(|part| {
            let held = self.verdicts.get(part);
            held.map(|held| held.group.members(*part))
        });
        if let Some(known) = known {
            parts.retain(|part| known.binary_search(part).is_ok());
            if parts.len() < known.len() {
                events.extend(self.narrow(&known, &parts, now));
            }
        }
        for part in &parts {
            let mut group = AmbiguityGroup::of(*part, &parts, sent_at);
            group.note_narrowed(narrowed);
            let row = VerdictRow { part: *part, ..*row };
            events.extend(self.adopt(&row, group, now));
        }
        events
    }

    /// Adopts a verdict of another host on a part, unless this host knows better.
    fn adopt(
        &mut self,
        row: &VerdictRow,
        mut group: AmbiguityGroup,
        now: EpochMillis,
    ) -> Option<LedgerEvent> {
        let sent_at = now.before(Duration::from_millis(row.sent_ago_ms));
        let left = Duration::from_millis(row.left_ms).min(MAX_TERM);
        let until = now.after(left);
        if let Some(held) = self.verdicts.get_mut(&row.part) {
            held.group.note_narrowed(group.narrowed());
            let is_longer = held
                .state
                .until()
                .is_some_and(|own| own.after(TERM_TOLERANCE) < until);
            if row.terms <= held.state.counts().1 && !is_longer {
                return None;
            }
            group = held.group.clone();
        } else if MAX_VERDICTS <= self.verdicts.len() {
            return Some(LedgerEvent::TableFull(row.part));
        }
        let VerdictRow { part, trials, terms, .. } = *row;
        let verdict = PartVerdict::reported((trials, terms), sent_at, until);
        let state = VerdictState::Rejected(verdict);
        let repeat_until = EpochMillis::default();
        let held = HeldVerdict { state, group, repeat_until };
        self.verdicts.insert(part, held);
        Some(LedgerEvent::Adopted(*row))
    }
}

/// Describes a clearance at `now`, and an operator's that came before it.
fn clearance_rows(
    part: PartId,
    held: &Clearance,
    now: EpochMillis,
) -> impl Iterator<Item = ClearanceRow> {
    let lifted = (held.settled_until, ClearanceBasis::Operator);
    let is_lifted = held.settled_until != EpochMillis::default();
    let rows = is_lifted.then_some(lifted).into_iter();
    let latest = (held.at, held.basis);
    let rows = rows.chain((!is_lifted || latest != lifted).then_some(latest));
    rows.map(move |(at, basis)| ClearanceRow {
        part,
        ago_ms: ago_ms(at, now),
        basis,
    })
}

/// Describes a verdict at `now`.
pub(super) fn verdict_row(
    part: PartId,
    state: &VerdictState,
    now: EpochMillis,
) -> VerdictRow {
    let (trials, terms) = state.counts();
    let left = state.until().map_or(Duration::ZERO, |until| now.until(until));
    VerdictRow {
        part,
        trials,
        terms,
        sent_ago_ms: state.sent_at().until(now).as_millis() as u64,
        left_ms: left.as_millis() as u64,
    }
}

/// Returns the time from `at` to `now`, in milliseconds.
fn ago_ms(at: EpochMillis, now: EpochMillis) -> u64 {
    at.until(now).as_millis() as u64
}
