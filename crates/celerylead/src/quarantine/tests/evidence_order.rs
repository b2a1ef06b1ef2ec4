//! Two hosts before four runners, as callers see them, with evidence that
//! reaches the other host late, or in another order.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use super::{DEADLY, parts_of_call, start};
use crate::{
    clock::EpochMillis,
    quarantine::{
        CrashWitness, EvidenceReport, PartAdmission, RunnerSign,
        SuspectLedger, VerdictRow,
    },
    roster::RunnerStart,
};

const RUNNERS: usize = 4;
/// Parts that all calls share, and one that all sound ones have besides.
const SHARED: u64 = 20;
const SOUND_PART: u64 = 0x50;
/// Times of the play, in milliseconds.
const CALM: u64 = 10_000;
const TROUBLED: u64 = 30_000;
const SOUND_PERIOD: u64 = 125;
/// Time from a runner's end until its next start has its model.
const DOWN: u64 = 4_300;
/// Time by which the first restart comes before the end of a period.
const FIRST_RESTART_LEAD: u64 = 200;
/// Longest time for which a call waits for a runner.
const PATIENCE: u64 = 1_500;
/// Time from a host's end until its next process hears the other one.
const START_TIME: u64 = 300;
/// Time between two messages to the other host that repeat the news.
const GOSSIP_PERIOD: u64 = 200;
/// `contact_ms` of the deployments, and the crash from which it counts.
const CONTACT: u64 = 3_000;
const COUNTED_CRASH: usize = 5;
/// Calls with the deadly part that may reach runners later than that.
const LATE_CALLS: usize = 3;

/// What differs between the machines on which the hosts run.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Time from a message to its receipt, by receiving host.
    delays: [u64; 2],
    /// Time after which each host notices that a connection has ended.
    notice: [u64; 2],
    /// Duration of a sound answer: how many are cut with a runner.
    answer: u64,
    /// Share of the messages that are lost, in a hundred.
    lost: u32,
    /// Whether a connection to a runner that is down is refused.
    is_refused: bool,
    /// Part of the deadly calls of whose answers a head arrives before the runner
    /// ends, in a hundred.
    begun: u32,
    /// Time between two restarts of hosts, which take turns.
    restarts: Option<u64>,
    /// Time between two deadly calls.
    deadly_period: u64,
    /// Deadly parts.
    parts: u64,
    /// Whether the deadly part comes before those that all calls share.
    is_first: bool,
    /// Time in which only sound calls come, from the start of the hosts on.
    calm: u64,
}

/// An answer under way.
#[derive(Clone)]
struct Answer {
    host: usize,
    runner: usize,
    /// The deadly part of its call.
    deadly: Option<u64>,
    sent_at: u64,
}

struct Play {
    case: Case,
    random: SmallRng,
    ledgers: [SuspectLedger; 2],
    /// Time from which each host is up.
    up_at: [u64; 2],
    /// Start of each runner, and the time from which it is up.
    runners: [(u64, u64); RUNNERS],
    starts: u64,
    answers: Vec<Answer>,
    /// Calls that wait for a runner: their end, host and deadly part.
    waiting: Vec<(u64, usize, Option<u64>)>,
    /// Calls whose end a host notices at a time.
    ends: Vec<(u64, Answer, RunnerStart)>,
    messages: Vec<(u64, usize, EvidenceReport)>,
    /// Runners that are down, and when a host next calls them.
    refusals: Vec<(u64, usize, RunnerStart)>,
    crashes: Vec<u64>,
    /// Times at which calls with a deadly part reached runners.
    deadly_at: Vec<u64>,
    /// Times of the sound calls, and whether each was admitted.
    sound: Vec<(u64, bool)>,
}

impl Play {
    fn new(case: Case, seed: u64) -> Play {
        let ledger = || SuspectLedger::new(0.5, EpochMillis(0));
        Play {
            case,
            random: SmallRng::seed_from_u64(seed),
            ledgers: [ledger(), ledger()],
            up_at: [0, 0],
            runners: std::array::from_fn(|index| (index as u64, 0)),
            starts: RUNNERS as u64,
            answers: Vec::new(),
            waiting: Vec::new(),
            ends: Vec::new(),
            messages: Vec::new(),
            refusals: Vec::new(),
            crashes: Vec::new(),
            deadly_at: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn shared_parts(&self, deadly: Option<u64>) -> Vec<u64> {
        let own = deadly.unwrap_or(SOUND_PART);
        let mut parts: Vec<u64> = (1..=SHARED).chain([own]).collect();
        if self.case.is_first {
            parts.reverse();
        }
        parts
    }

    fn run(&mut self) {
        let mut number = 0;
        for at in 0..self.case.calm + TROUBLED {
            self.deliver(at);
            self.note_ends(at);
            if let Some(host) = self.restarting(at) {
                self.restart(host, EpochMillis(at));
                self.up_at[host] = at + START_TIME;
                self.answers.retain(|answer| answer.host != host);
                self.waiting.retain(|(_, waits, _)| *waits != host);
                self.ends.retain(|(_, answer, _)| answer.host != host);
            }
            if self.case.calm <= at
                && at.is_multiple_of(self.case.deadly_period)
            {
                let part = DEADLY + number % self.case.parts;
                number += 1;
                self.call(Some(part), at);
            }
            if at.is_multiple_of(SOUND_PERIOD) {
                self.call(None, at);
            }
            self.send_waiting(at);
            self.crash(at);
            self.complete(at);
            self.gossip(at);
        }
    }

    /// Returns the host that starts again at a time, if one does. The first does
    /// so when all runners are down.
    fn restarting(&self, at: u64) -> Option<usize> {
        let period = self.case.restarts?;
        let since = (at + FIRST_RESTART_LEAD).checked_sub(self.case.calm)?;
        let is_due = 0 < since && since.is_multiple_of(period);
        is_due.then_some((since / period) as usize % 2)
    }

    /// A host starts again; the rows of the hosts keep the verdicts.
    fn restart(&mut self, host: usize, now: EpochMillis) {
        let kept = self.ledgers.iter().flat_map(|ledger| ledger.verdicts(now));
        let verdicts: Vec<VerdictRow> = kept.collect();
        let report = EvidenceReport { verdicts, ..EvidenceReport::default() };
        self.ledgers[host] = SuspectLedger::new(0.5, now);
        self.ledgers[host].merge(&report, now);
    }

    fn call(&mut self, deadly: Option<u64>, at: u64) {
        let now = EpochMillis(at);
        let mut host = self.random.random_range(0..2);
        if at < self.up_at[host] {
            host = 1 - host;
        }
        let parts = parts_of_call(&self.shared_parts(deadly), at * 2);
        let admission = self.ledgers[host].admit(&parts, |_| host == 0, now);
        let is_admitted = matches!(
            admission,
            PartAdmission::Admit | PartAdmission::Probe(_)
        );
        if deadly.is_none() {
            self.sound.push((at, is_admitted));
        }
        if !is_admitted {
            return;
        }
        if let PartAdmission::Probe(part) = admission {
            self.ledgers[host].begin_probe(part, &parts, now);
        }
        self.waiting.push((at + PATIENCE, host, deadly));
    }

    /// Sends the calls that wait to random runners, if any is up.
    fn send_waiting(&mut self, at: u64) {
        self.waiting.retain(|(until, ..)| at < *until);
        let up: Vec<usize> = (0..RUNNERS)
            .filter(|index| self.runners[*index].1 <= at)
            .collect();
        if up.is_empty() {
            return;
        }
        for (_, host, deadly) in std::mem::take(&mut self.waiting) {
            let parts = parts_of_call(&self.shared_parts(deadly), at * 2);
            let ledger = &mut self.ledgers[host];
            let admission = ledger.admit(&parts, |_| false, EpochMillis(at));
            if admission != PartAdmission::Admit {
                continue;
            }
            let runner = up[self.random.random_range(0..up.len())];
            if deadly.is_some() {
                self.deadly_at.push(at);
            }
            let sent_at = at;
            self.answers.push(Answer { host, runner, deadly, sent_at });
        }
    }

    /// Ends the runners whose deadly calls have begun to be answered.
    fn crash(&mut self, at: u64) {
        let due = |answer: &Answer| {
            answer.deadly.is_some() && answer.sent_at + 25 <= at
        };
        while let Some(answer) = self.answers.iter().find(|a| due(a)) {
            let runner = answer.runner;
            let start = start(self.runners[runner].0);
            self.crashes.push(at);
            let ended = self.answers.extract_if(.., |a| a.runner == runner);
            for answer in ended {
                let noticed_at = at + self.case.notice[answer.host];
                self.ends.push((noticed_at, answer, start.clone()));
            }
            if self.case.is_refused {
                for host in 0..2 {
                    let called_at = at + self.random.random_range(20..250);
                    self.refusals.push((called_at, host, start.clone()));
                }
            }
            self.runners[runner] = (self.starts, at + DOWN);
            self.starts += 1;
        }
    }

    fn note_ends(&mut self, at: u64) {
        let now = EpochMillis(at);
        let due = self.ends.extract_if(.., |(due, ..)| *due <= at);
        for (_, answer, start) in due.collect::<Vec<_>>() {
            let Answer { host, deadly, sent_at, .. } = answer;
            let own = sent_at * 2;
            let is_begun = self.random.random_range(0..100) < self.case.begun;
            let witness = CrashWitness {
                parts: parts_of_call(&self.shared_parts(deadly), own),
                is_partial: false,
                begun: deadly.is_none() || is_begun,
                sent_at: EpochMillis(sent_at),
            };
            self.ledgers[host].record_crash(&start, &witness, now);
        }
        let due = self.refusals.extract_if(.., |(due, ..)| *due <= at);
        for (_, host, start) in due.collect::<Vec<_>>() {
            let sign = RunnerSign::Refused;
            self.ledgers[host].record_sign(&start, sign, now, now);
        }
    }

    fn complete(&mut self, at: u64) {
        let answer_time = self.case.answer;
        let due = self.answers.extract_if(.., |answer| {
            answer.deadly.is_none() && answer.sent_at + answer_time <= at
        });
        for answer in due.collect::<Vec<_>>() {
            let parts =
                parts_of_call(&self.shared_parts(None), answer.sent_at * 2);
            let ledger = &mut self.ledgers[answer.host];
            ledger.record_sound(&parts, EpochMillis(at));
            let start = start(self.runners[answer.runner].0);
            let sent_at = EpochMillis(answer.sent_at);
            let sign = RunnerSign::Answered;
            ledger.record_sign(&start, sign, sent_at, EpochMillis(at));
        }
    }

    fn gossip(&mut self, at: u64) {
        let now = EpochMillis(at);
        for host in 0..2 {
            let is_news =
                self.ledgers[host].tell_at().is_some_and(|t| t <= now);
            if is_news {
                self.ledgers[host].begin_telling(now);
            }
            if !is_news && !at.is_multiple_of(GOSSIP_PERIOD) {
                continue;
            }
            let (report, _) = self.ledgers[host].report(2, now);
            let is_lost = self.random.random_range(0..100) < self.case.lost;
            let is_up = self.up_at.iter().all(|up_at| *up_at <= at);
            if !report.is_empty() && !is_lost && is_up {
                let due = at + self.case.delays[1 - host];
                self.messages.push((due, 1 - host, report));
            }
        }
    }

    fn deliver(&mut self, at: u64) {
        let due = self.messages.extract_if(.., |(due, ..)| *due <= at);
        for (_, host, report) in due.collect::<Vec<_>>() {
            self.ledgers[host].merge(&report, EpochMillis(at));
        }
    }

    /// Returns what breaks the platform's rules, if anything does.
    fn verdict(&self) -> Option<String> {
        let counted = self.crashes.get(COUNTED_CRASH - 1);
        let counted = *counted.or(self.crashes.last())?;
        let late = self.deadly_at.iter().filter(|at| counted + CONTACT < **at);
        let late = late.count();
        let sound = self.sound.iter();
        let after = sound.filter(|(at, _)| counted + 2 * CONTACT <= *at);
        let after: Vec<bool> = after.map(|(_, admitted)| *admitted).collect();
        let admitted = after.iter().filter(|admitted| **admitted).count();
        let is_lost = 2 * admitted < after.len();
        (is_lost || LATE_CALLS < late).then(|| {
            format!(
                "{} crashes, {late} late calls, {admitted} of {} sound calls \
                 admitted",
                self.crashes.len(),
                after.len()
            )
        })
    }
}

/// Guards against sound parts that are rejected, and against a deadly one that
/// isn't, when hosts learn of a crash late or in an odd order.
#[test]
fn the_order_of_the_evidence_decides_nothing() {
    let case = Case {
        name: "at once",
        delays: [1, 1],
        notice: [0, 0],
        answer: 180,
        lost: 0,
        is_refused: true,
        begun: 100,
        restarts: None,
        deadly_period: 500,
        parts: 1,
        is_first: false,
        calm: CALM,
    };
    let cases = [
        Case { name: "messages take 100 ms", delays: [100, 100], ..case },
        Case { name: "messages take 400 ms", delays: [400, 400], ..case },
        Case { name: "messages take 700 ms", delays: [700, 700], ..case },
        Case { name: "messages take 1.5 s", delays: [1_500, 1_500], ..case },
        Case { name: "one host hears late", delays: [1, 900], ..case },
        Case { name: "one host notices late", notice: [0, 300], ..case },
        Case { name: "both notice late", notice: [600, 400], ..case },
        Case { name: "one notices very late", notice: [0, 2_300], ..case },
        Case { name: "long answers", answer: 1_500, ..case },
        Case { name: "very long answers", answer: 6_000, ..case },
        Case { name: "no refusal", is_refused: false, ..case },
        Case {
            name: "no refusal, long answers",
            is_refused: false,
            answer: 1_500,
            ..case
        },
        Case { name: "no head", begun: 0, ..case },
        Case {
            name: "no head, long answers",
            begun: 0,
            answer: 1_500,
            ..case
        },
        Case { name: "half of the messages lost", lost: 50, ..case },
        Case {
            name: "late, lost and without refusals",
            delays: [300, 700],
            notice: [100, 250],
            lost: 30,
            is_refused: false,
            answer: 800,
            ..case
        },
        Case { name: "half of the heads", begun: 50, ..case },
        Case {
            name: "half of the heads, long answers, late messages",
            begun: 50,
            answer: 1_500,
            delays: [200, 400],
            ..case
        },
        Case { name: "the deadly part comes first", is_first: true, ..case },
        Case { name: "hosts that have just started", calm: 0, ..case },
        Case {
            name: "just started, the deadly part comes first",
            calm: 0,
            is_first: true,
            ..case
        },
        Case { name: "just started, two parts", calm: 0, parts: 2, ..case },
        Case { name: "just started, no head", calm: 0, begun: 0, ..case },
        Case { name: "hosts restart", restarts: Some(2_500), ..case },
        Case { name: "two parts", parts: 2, ..case },
        Case {
            name: "two parts, hosts restart",
            parts: 2,
            restarts: Some(2_500),
            ..case
        },
        Case {
            name: "two parts, often",
            parts: 2,
            deadly_period: 200,
            ..case
        },
        Case {
            name: "two parts, often, hosts restart",
            parts: 2,
            deadly_period: 200,
            restarts: Some(2_500),
            ..case
        },
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
