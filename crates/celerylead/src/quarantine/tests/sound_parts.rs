//! Sound parts in calls whose runners end for a cause of their own, or beside a
//! deadly part.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use super::{DEADLY, parts_of_call, start};
use crate::{
    clock::EpochMillis,
    quarantine::{
        CrashWitness, EvidenceReport, PartAdmission, RunnerSign, SuspectLedger,
    },
    roster::RunnerStart,
};

const HOSTS: usize = 4;
const RUNNERS: usize = 6;
/// First part of all prompts, and the first of the sound second parts.
const FIRST: u64 = 1;
const SOUND: u64 = 0x50;
/// Times of the play, in milliseconds.
const STEP: usize = 10;
const SPAN: u64 = 90_000;
const GOSSIP_PERIOD: u64 = 200;
/// Time between two calls without a second part, and until their first event.
const PLAIN_PERIOD: u64 = 100;
const PLAIN_PREFILL: u64 = 100;
/// Time between two calls with one of the sound second parts.
const SOUND_PERIOD: u64 = 250;
/// Time from a deadly call to the end of its runner, and to its next start.
const DEADLY_TIME: u64 = 30;
const DOWN: u64 = 1_500;
/// Time from the first event of an answer from which it goes on.
const SOUND_AFTER: u64 = 250;
/// `contact_ms` of the deployments, and the crash from which it counts.
const CONTACT: u64 = 3_000;
const COUNTED_CRASH: usize = 5;
/// Calls with the deadly part that may reach runners later than that.
const LATE_CALLS: usize = 3;
/// Time for which runners end for causes of their own.
const TROUBLED: u64 = 40_000;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Number of sound second parts.
    sound_parts: u64,
    /// Time from a call with one of these to its first event.
    prefill: u64,
    /// Time between two ends of runners that no call causes.
    crash_period: Option<u64>,
    /// Time between two calls with the deadly part.
    deadly_period: Option<u64>,
    /// Whether calls with the deadly part have the first sound part too.
    is_shared: bool,
    /// Time from a message to its receipt.
    delay: u64,
}

/// An answer under way.
#[derive(Clone)]
struct Answer {
    host: usize,
    runner: usize,
    shared: Vec<u64>,
    sent_at: u64,
    sound_at: u64,
}

struct Play {
    case: Case,
    random: SmallRng,
    ledgers: Vec<SuspectLedger>,
    /// Start of each runner, and the time from which it is up.
    runners: [(u64, u64); RUNNERS],
    starts: u64,
    answers: Vec<Answer>,
    messages: Vec<(u64, usize, EvidenceReport)>,
    refusals: Vec<(u64, usize, RunnerStart)>,
    calls: usize,
    /// Sound calls that were refused for good.
    rejected: usize,
    /// Times at which deadly calls reached runners.
    deadly_at: Vec<u64>,
}

impl Play {
    fn new(case: Case, seed: u64) -> Play {
        let ledger = |_| SuspectLedger::new(0.5, EpochMillis(0));
        Play {
            case,
            random: SmallRng::seed_from_u64(seed),
            ledgers: (0..HOSTS).map(ledger).collect(),
            runners: std::array::from_fn(|index| (index as u64, 0)),
            starts: RUNNERS as u64,
            answers: Vec::new(),
            messages: Vec::new(),
            refusals: Vec::new(),
            calls: 0,
            rejected: 0,
            deadly_at: Vec::new(),
        }
    }

    fn run(&mut self) {
        for at in (0..SPAN).step_by(STEP) {
            self.deliver(at);
            if at.is_multiple_of(SOUND_PERIOD) {
                let part = self.random.random_range(0..self.case.sound_parts);
                let prefill = self.case.prefill;
                self.call(vec![FIRST, SOUND + part], prefill, at);
            }
            if at.is_multiple_of(PLAIN_PERIOD) {
                self.call(vec![FIRST], PLAIN_PREFILL, at);
            }
            if self.case.deadly_period.is_some_and(|p| at.is_multiple_of(p)) {
                let companion = self.case.is_shared.then_some(SOUND);
                let shared = [FIRST, DEADLY].into_iter().chain(companion);
                self.call(shared.collect(), 0, at);
            }
            self.end_answers(at);
            let crashes = self.case.crash_period;
            if at < TROUBLED && crashes.is_some_and(|p| at.is_multiple_of(p)) {
                let runner = self.random.random_range(0..RUNNERS);
                self.end_runner(runner, at);
            }
            self.gossip(at);
        }
    }

    fn call(&mut self, shared: Vec<u64>, prefill: u64, at: u64) {
        self.calls += 1;
        let host = self.random.random_range(0..HOSTS);
        let is_deadly = shared.contains(&DEADLY);
        let parts = parts_of_call(&shared, at);
        let ledger = &mut self.ledgers[host];
        let now = EpochMillis(at);
        let admission = ledger.admit(&parts, |_| host, now);
        let is_rejected = matches!(admission, PartAdmission::Reject(_));
        self.rejected += usize::from(is_rejected && !is_deadly);
        if is_rejected || matches!(admission, PartAdmission::Suspend(..)) {
            return;
        }
        let up: Vec<usize> = (0..RUNNERS)
            .filter(|index| self.runners[*index].1 <= at)
            .collect();
        if up.is_empty() {
            return;
        }
        if let PartAdmission::Probe(part) = admission {
            ledger.begin_probe(part, now);
        }
        if is_deadly {
            self.deadly_at.push(at);
        }
        let runner = up[self.random.random_range(0..up.len())];
        let sound_at = at + prefill + SOUND_AFTER;
        let sent_at = at;
        self.answers.push(Answer { host, runner, shared, sent_at, sound_at });
    }

    /// Ends the runners with deadly calls, and the sound answers that go on.
    fn end_answers(&mut self, at: u64) {
        let is_due = |answer: &Answer| {
            answer.shared.contains(&DEADLY)
                && answer.sent_at + DEADLY_TIME <= at
        };
        while let Some(answer) = self.answers.iter().find(|a| is_due(a)) {
            self.end_runner(answer.runner, at);
        }
        let sound = self.answers.extract_if(.., |a| a.sound_at <= at);
        for Answer { host, shared, sent_at, .. } in sound {
            let parts = parts_of_call(&shared, sent_at);
            self.ledgers[host].record_sound(&parts, EpochMillis(at));
        }
    }

    fn end_runner(&mut self, runner: usize, at: u64) {
        if at < self.runners[runner].1 {
            return;
        }
        let start = start(self.runners[runner].0);
        let ended = self.answers.extract_if(.., |a| a.runner == runner);
        for Answer { host, shared, sent_at, .. } in ended {
            let witness = CrashWitness {
                parts: parts_of_call(&shared, sent_at),
                is_partial: false,
                begun: true,
                sent_at: EpochMillis(sent_at),
            };
            self.ledgers[host].record_crash(&start, &witness, EpochMillis(at));
        }
        for host in 0..HOSTS {
            let called_at = at + self.random.random_range(20..250);
            self.refusals.push((called_at, host, start.clone()));
        }
        self.runners[runner] = (self.starts, at + DOWN);
        self.starts += 1;
    }

    fn gossip(&mut self, at: u64) {
        let now = EpochMillis(at);
        for (host, ledger) in self.ledgers.iter_mut().enumerate() {
            let is_news = ledger.tell_at().is_some_and(|due| due <= now);
            if is_news {
                ledger.begin_telling(now);
            }
            if !is_news && !at.is_multiple_of(GOSSIP_PERIOD) {
                continue;
            }
            let (report, _) = ledger.report(HOSTS, now);
            if report.is_empty() {
                continue;
            }
            for to in (0..HOSTS).filter(|to| *to != host) {
                let due = at + self.case.delay;
                self.messages.push((due, to, report.clone()));
            }
        }
    }

    fn deliver(&mut self, at: u64) {
        let now = EpochMillis(at);
        let due = self.messages.extract_if(.., |(due, ..)| *due <= at);
        for (_, host, report) in due {
            self.ledgers[host].merge(&report, now);
        }
        let due = self.refusals.extract_if(.., |(due, ..)| *due <= at);
        for (_, host, start) in due {
            let sign = RunnerSign::Refused;
            self.ledgers[host].record_sign(&start, sign, now, now);
        }
    }

    /// Returns what breaks the platform's rules, if anything does.
    fn verdict(&self) -> Option<String> {
        let counted = self.deadly_at.get(COUNTED_CRASH - 1);
        let counted = counted.or(self.deadly_at.last()).copied();
        let late = counted.map_or(0, |counted| {
            let bound = counted + DEADLY_TIME + CONTACT;
            self.deadly_at.iter().filter(|at| bound < **at).count()
        });
        let is_denied = 5 + self.calls / 500 < self.rejected;
        (is_denied || LATE_CALLS < late).then(|| {
            format!(
                "{} sound calls of {} calls rejected, {late} late calls of {} \
                 deadly ones",
                self.rejected,
                self.calls,
                self.deadly_at.len(),
            )
        })
    }
}

/// Guards against final refusals of sound calls by a wrong verdict: on a rare part
/// whose calls ended with three runners, and on a companion of a deadly part.
#[test]
fn a_wrong_verdict_rejects_no_sound_calls() {
    let case = Case {
        name: "runners end for other causes",
        sound_parts: 5,
        prefill: 120,
        crash_period: Some(1_000),
        deadly_period: None,
        is_shared: false,
        delay: 5,
    };
    let companion = Case {
        name: "a companion",
        crash_period: None,
        deadly_period: Some(200),
        is_shared: true,
        ..case
    };
    let cases = [
        Case { name: "rare parts", sound_parts: 100, ..case },
        Case { name: "long prefill", prefill: 1_500, ..case },
        Case {
            name: "long prefill of rare parts",
            prefill: 1_500,
            sound_parts: 100,
            ..case
        },
        Case {
            name: "beside a deadly part",
            deadly_period: Some(200),
            ..case
        },
        Case {
            name: "rare parts beside a deadly one",
            deadly_period: Some(200),
            sound_parts: 100,
            ..case
        },
        Case { name: "a rare companion", sound_parts: 100, ..companion },
        Case {
            name: "a rare companion, messages take 300 ms",
            sound_parts: 100,
            delay: 300,
            ..companion
        },
        Case {
            name: "a companion, messages take 300 ms",
            delay: 300,
            ..companion
        },
        companion,
        case,
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 0..12 {
            let mut play = Play::new(case, seed);
            play.run();
            if let Some(verdict) = play.verdict() {
                failures
                    .push(format!("{}, seed {seed}: {verdict}", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
