//! Generates the schedule of faults for a run from a seed, so that a failed
//! run can be repeated.

use std::ops::Range;

use rand::{rngs::StdRng, seq::IndexedRandom, RngExt, SeedableRng};
use serde::Serialize;

/// Time between the starts of two faults. It is shorter than most faults last,
/// so that faults usually overlap.
const FAULT_GAP_MS: Range<u64> = 150..1_100;
/// Time from the injection of a fault until it is cleared.
const FAULT_DURATION_MS: Range<u64> = 300..3_000;
/// Time without faults at the start of a run.
const WARM_UP_MS: u64 = 1_500;

/// Number of processes in a run, by role. The store is not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClusterSize {
    /// Gateway processes, each with a proxy to its callers and one to the store.
    pub gateways: usize,
    /// Instances of the upstream that serves event streams.
    pub engines: usize,
    /// Instances of the upstream that serves plain HTTP requests.
    pub services: usize,
}

impl ClusterSize {
    /// Divides a total number of processes among the roles. One process is the
    /// store; every other role gets at least two.
    pub fn from_process_count(processes: usize) -> Self {
        let gateways = (processes / 4).max(2);
        let services = (processes / 6).max(2);
        let engines = processes.saturating_sub(gateways + services + 1).max(2);
        Self {
            gateways,
            engines,
            services,
        }
    }

    /// Returns the number of instances of both upstreams.
    pub fn instances(&self) -> usize {
        self.engines + self.services
    }
}

/// A network link between two components, whose bytes a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Link {
    /// From callers to a gateway.
    Callers(usize),
    /// From a gateway to the store.
    Store(usize),
    /// From all gateways to an instance.
    Instance(usize),
}

/// A fault that a proxy applies to the bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Forwards bytes in both directions with a delay.
    Delay {
        /// Delay of each read chunk, in milliseconds.
        ms: u64,
    },
    /// Holds back bytes in both directions without closing the connection.
    Silence,
    /// Holds back bytes from client to server; the other direction works.
    CutForth,
    /// Holds back bytes from server to client; the other direction works.
    CutBack,
    /// Closes all open connections once.
    Reset,
}

/// An injected fault or operator action. Numbers are indices of gateways or
/// instances; modes are those of the admin calls of the simulated components.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// A gateway gets SIGTERM and is restarted.
    StopGateway(usize),
    /// A gateway is killed and restarted.
    KillGateway(usize),
    /// A gateway is suspended with SIGSTOP.
    PauseGateway(usize),
    /// A gateway gets SIGHUP and rereads its settings.
    HangUpGateway(usize),
    /// An instance gets SIGTERM, drains and is restarted.
    DrainInstance(usize),
    /// An instance is killed and restarted.
    KillInstance(usize),
    /// An instance is suspended with SIGSTOP.
    PauseInstance(usize),
    /// An instance handles a share of its requests incorrectly, as the mode says,
    /// such as `truncates` or `hangs`.
    FaultyInstance(usize, &'static str),
    /// The proxy of a network link applies a fault.
    Link(Link, LinkFault),
    /// The store fails as the mode says, such as `silent` or `busy`.
    Store(&'static str),
    /// The store discards its watch history.
    CompactStore,
    /// The store comes back from a copy that was made when the fault began. What the
    /// operator and the instances have written since is written again.
    RestoreStore,
    /// The operator writes a configuration that adds or removes a route.
    Configure,
    /// The operator writes several such configurations in quick succession.
    ConfigureOften,
    /// The operator writes a configuration that removes an API key or adds it
    /// again.
    ToggleKey,
    /// The operator writes such a configuration with parts that gateways can't read, or
    /// have no type for.
    ToggleKeyBesideUnreadableParts,
    /// Another program writes an entry into the list of instances that gateways can't
    /// read. It stays.
    UnreadableEntry,
}

impl Fault {
    /// Returns the label under which the fault is counted in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::StopGateway(_) => "gateway stopped",
            Self::KillGateway(_) => "gateway killed",
            Self::PauseGateway(_) => "gateway paused",
            Self::HangUpGateway(_) => "gateway hung up",
            Self::DrainInstance(_) => "instance drained",
            Self::KillInstance(_) => "instance killed",
            Self::PauseInstance(_) => "instance paused",
            Self::FaultyInstance(..) => "instance faulty",
            Self::Link(_, LinkFault::Delay { .. }) => "link slow",
            Self::Link(_, LinkFault::Silence) => "link silent",
            Self::Link(_, LinkFault::CutForth | LinkFault::CutBack) => "link cut one way",
            Self::Link(_, LinkFault::Reset) => "link reset",
            Self::Store(_) => "store failing",
            Self::CompactStore => "store history lost",
            Self::RestoreStore => "store restored",
            Self::Configure => "configuration",
            Self::ConfigureOften => "configuration storm",
            Self::ToggleKey => "key changed",
            Self::ToggleKeyBesideUnreadableParts => "key changed, unreadable parts",
            Self::UnreadableEntry => "unreadable entry",
        }
    }

    /// Returns whether the fault must not start while `other` is active: both
    /// affect the same process or link, or one writes a configuration while
    /// the other makes the store fail.
    pub fn excludes(&self, other: &Self) -> bool {
        self.target() == other.target()
            || self.is_config_write() && matches!(other, Self::Store(_))
            || other.is_config_write() && matches!(self, Self::Store(_))
    }

    fn is_config_write(&self) -> bool {
        matches!(
            self,
            Self::Configure
                | Self::ConfigureOften
                | Self::ToggleKey
                | Self::ToggleKeyBesideUnreadableParts
        )
    }

    fn target(&self) -> FaultTarget {
        match *self {
            Self::StopGateway(number)
            | Self::KillGateway(number)
            | Self::PauseGateway(number)
            | Self::HangUpGateway(number) => FaultTarget::Gateway(number),
            Self::DrainInstance(number)
            | Self::KillInstance(number)
            | Self::PauseInstance(number)
            | Self::FaultyInstance(number, _) => FaultTarget::Instance(number),
            Self::Link(link, _) => FaultTarget::Link(link),
            Self::Store(_) | Self::CompactStore | Self::RestoreStore => FaultTarget::Store,
            Self::Configure
            | Self::ConfigureOften
            | Self::ToggleKey
            | Self::ToggleKeyBesideUnreadableParts => FaultTarget::Operator,
            Self::UnreadableEntry => FaultTarget::OtherWriter,
        }
    }

    /// Returns whether this is a planned operator action, which must not affect
    /// requests in flight.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::StopGateway(_)
                | Self::HangUpGateway(_)
                | Self::DrainInstance(_)
                | Self::Configure
                | Self::ConfigureOften
                | Self::ToggleKey
                | Self::ToggleKeyBesideUnreadableParts
                | Self::UnreadableEntry
        )
    }
}

/// The component that a fault affects.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultTarget {
    Gateway(usize),
    Instance(usize),
    Link(Link),
    Store,
    Operator,
    OtherWriter,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ScheduledFault {
    /// Start, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Time after which the fault is cleared, in milliseconds.
    pub for_ms: u64,
    /// Fault, which is skipped if an active one excludes it.
    pub fault: Fault,
}

/// Generates the faults of a run in order of their start. The last quarter of
/// the run has only planned ones, because the effect of a planned action on
/// requests cannot be told apart from that of a concurrent crash.
pub fn generate(seed: u64, size: ClusterSize, length_ms: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = WARM_UP_MS;
    while at_ms < length_ms {
        let mut fault = random_fault(&mut rng, size);
        while at_ms >= length_ms / 4 * 3 && !fault.is_planned() {
            fault = random_fault(&mut rng, size);
        }
        let for_ms = rng.random_range(FAULT_DURATION_MS);
        steps.push(ScheduledFault {
            at_ms,
            for_ms,
            fault,
        });
        at_ms += rng.random_range(FAULT_GAP_MS);
    }
    steps
}

fn random_fault(rng: &mut StdRng, size: ClusterSize) -> Fault {
    const INSTANCE_FAULT_MODES: &[&str] = &[
        "errors",
        "loses-answers",
        "truncates",
        "sends-extra",
        "full",
        "wants-pause",
        "hangs",
        "endless-head",
        "endless-body",
        "switches-protocols",
        "has-no-status",
    ];
    let gateway = rng.random_range(0..size.gateways);
    let instance = rng.random_range(0..size.instances());
    match rng.random_range(0..27) {
        0 | 1 => Fault::StopGateway(gateway),
        2 => Fault::KillGateway(gateway),
        3 => Fault::PauseGateway(gateway),
        4 => Fault::HangUpGateway(gateway),
        5 | 6 => Fault::DrainInstance(instance),
        7 => Fault::KillInstance(instance),
        8 => Fault::PauseInstance(instance),
        9..=14 => Fault::FaultyInstance(
            instance,
            INSTANCE_FAULT_MODES
                .choose(rng)
                .copied()
                .unwrap_or("errors"),
        ),
        // Only plain services get long uploads.
        15 => Fault::FaultyInstance(
            size.engines + rng.random_range(0..size.services),
            "ends-early",
        ),
        16 => Fault::Link(Link::Callers(gateway), random_link_fault(rng)),
        17 => Fault::Link(Link::Store(gateway), random_link_fault(rng)),
        18 => Fault::Link(Link::Instance(instance), random_link_fault(rng)),
        19 => match rng.random_range(0..4) {
            0 => Fault::CompactStore,
            1 => Fault::Store("silent"),
            2 => Fault::Store("garbled"),
            _ => Fault::Store("busy"),
        },
        20 => Fault::Configure,
        21 => Fault::ConfigureOften,
        22 => Fault::RestoreStore,
        23 => Fault::ToggleKeyBesideUnreadableParts,
        24 => Fault::UnreadableEntry,
        _ => Fault::ToggleKey,
    }
}

fn random_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay {
            ms: rng.random_range(10..400),
        },
        1 => LinkFault::Silence,
        2 => LinkFault::CutForth,
        3 => LinkFault::CutBack,
        _ => LinkFault::Reset,
    }
}
