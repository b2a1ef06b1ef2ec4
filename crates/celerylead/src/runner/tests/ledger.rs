//! Guards against overcommitted runner memory under random interleavings of
//! owners, orders and engines: orders that arrive late or never, reports read
//! before an order, changes of owner.

use proptest::prelude::{Strategy, prop, prop_assert, prop_oneof, proptest};

use crate::{
    clock::EpochMillis,
    membership::HostTag,
    runner::{
        ORDER_QUARANTINE, OrderKind, ReadReport, RunnerLedger, RunnerOrder,
        RunnerReport,
    },
};

const MEMORY_MB: u64 = 100;
const SIZES: [u64; 4] = [50, 40, 30, 30];

#[derive(Clone, Copy, Debug)]
enum LedgerStep {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The owner reserves and sends an order for a model.
    Order(OrderKind, usize),
    /// The engine receives the oldest order in transit.
    Arrive,
    /// The oldest order in transit is lost.
    Lose,
    /// The engine completes its oldest load.
    Loaded,
    /// The owner reads a report, without delay.
    Read,
    /// Another owner takes over the runner.
    TakeOver,
}

struct LedgerWorld {
    now: u64,
    fencing: bool,
    ledger: RunnerLedger,
    report: Option<(RunnerReport, EpochMillis)>,
    in_transit: Vec<(RunnerOrder, u64, u64)>,
    fence: u64,
    loading: Vec<usize>,
    resident: Vec<usize>,
    sequence: u64,
}

fn model(index: usize) -> String {
    format!("m{index}")
}

fn size_of(name: &str) -> u64 {
    let mut models = (0..SIZES.len()).filter(|index| model(*index) == name);
    models.next().map_or(0, |index| SIZES[index])
}

impl LedgerWorld {
    fn new(fencing: bool) -> LedgerWorld {
        let owner = HostTag { host: "kgn-1".to_owned(), incarnation: 1 };
        LedgerWorld {
            now: 0,
            fencing,
            ledger: RunnerLedger::take_over(None, "r", &owner, EpochMillis(0)),
            report: None,
            in_transit: Vec::new(),
            fence: 0,
            loading: Vec::new(),
            resident: Vec::new(),
            sequence: 0,
        }
    }

    fn step(&mut self, step: LedgerStep) {
        match step {
            LedgerStep::Wait(millis) => {
                self.now += millis;
                // No packet lives as long as the quarantine.
                let limit = self.now;
                let life = u64::try_from(ORDER_QUARANTINE.as_millis() - 1);
                let life = life.unwrap();
                self.in_transit.retain(|(_, _, sent)| limit < sent + life);
            }
            LedgerStep::Order(kind, index) => self.order(kind, index),
            LedgerStep::Arrive => self.arrive(),
            LedgerStep::Lose => {
                if !self.in_transit.is_empty() {
                    self.in_transit.remove(0);
                }
            }
            LedgerStep::Loaded => {
                if !self.loading.is_empty() {
                    let index = self.loading.remove(0);
                    self.resident.push(index);
                }
            }
            LedgerStep::Read => self.read(),
            LedgerStep::TakeOver => {
                let owner = self.ledger.owner.clone();
                let now = EpochMillis(self.now);
                let former = Some(&self.ledger);
                self.ledger =
                    RunnerLedger::take_over(former, "r", &owner, now);
                self.report = None;
            }
        }
    }

    fn order(&mut self, kind: OrderKind, index: usize) {
        let Some((report, _)) = &self.report else { return };
        self.sequence += 1;
        let now = EpochMillis(self.now);
        let order = RunnerOrder {
            id: format!("o{}", self.sequence),
            kind,
            model: model(index),
            size_mb: SIZES[index],
            fence: self.ledger.fence,
            placed: now,
            held_until: now.after(ORDER_QUARANTINE),
        };
        let reserved = self.ledger.reserve(&order, MEMORY_MB, report, size_of);
        if let Some(ledger) = reserved {
            self.ledger = ledger;
            self.in_transit.push((order, self.ledger.fence, self.now));
            // A report read before the order says nothing about the order.
            self.report = None;
        }
    }

    fn arrive(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let (order, fence, _) = self.in_transit.remove(0);
        if self.fencing && fence < self.fence {
            return;
        }
        self.fence = self.fence.max(fence);
        let index = (0..SIZES.len()).find(|p| model(*p) == order.model);
        let index = index.unwrap();
        let present =
            self.loading.contains(&index) || self.resident.contains(&index);
        match order.kind {
            OrderKind::Load if !present => self.loading.push(index),
            OrderKind::Unload => {
                self.resident.retain(|other| *other != index);
                self.loading.retain(|other| *other != index);
            }
            _ => {}
        }
    }

    fn read(&mut self) {
        let report = RunnerReport {
            models: self.resident.iter().map(|index| model(*index)).collect(),
            used_mb: self.used(),
            memory_mb: MEMORY_MB,
            fence: self.fence,
            loading: !self.loading.is_empty(),
            active: 0,
        };
        let read_from = EpochMillis(self.now);
        let read = ReadReport { report: &report, read_from };
        self.ledger = self.ledger.settled(&read, EpochMillis(self.now));
        if self.fencing {
            self.ledger = self.ledger.fenced(&read);
        }
        self.report = Some((report, read_from));
        // Time passes between any two actions of an owner.
        self.now += 1;
    }

    fn used(&self) -> u64 {
        let in_memory = self.loading.iter().chain(&self.resident);
        in_memory.map(|index| SIZES[*index]).sum()
    }
}

fn steps() -> impl Strategy<Value = Vec<LedgerStep>> {
    let model = 0..SIZES.len();
    prop::collection::vec(
        prop_oneof![
            2 => (1_u64..2_000).prop_map(LedgerStep::Wait),
            1 => (100_000_u64..130_000).prop_map(LedgerStep::Wait),
            6 => model.clone().prop_map(|m| {
                LedgerStep::Order(OrderKind::Load, m)
            }),
            4 => model.prop_map(|m| LedgerStep::Order(OrderKind::Unload, m)),
            6 => proptest::strategy::Just(LedgerStep::Arrive),
            1 => proptest::strategy::Just(LedgerStep::Lose),
            4 => proptest::strategy::Just(LedgerStep::Loaded),
            8 => proptest::strategy::Just(LedgerStep::Read),
            1 => proptest::strategy::Just(LedgerStep::TakeOver),
        ],
        1..200,
    )
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..Default::default()
    })]

    #[test]
    fn memory_is_never_overcommitted(
        fencing in proptest::bool::ANY,
        steps in steps(),
    ) {
        let mut world = LedgerWorld::new(fencing);
        for step in steps {
            world.step(step);
            prop_assert!(
                world.used() <= MEMORY_MB,
                "{} MB after {step:?}",
                world.used(),
            );
        }
    }
}
