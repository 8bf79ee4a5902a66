//! Decides how much clients may hold of a process, and which of them is
//! disconnected when that is not enough.
//!
//! Load pattern: dozens of clients that nobody controls each hold as much as one
//! request legally may (a body of 4 MiB that stops just short of its end, thousands of
//! short header fields, a response that is not read), on machines with 120 MB. Each of
//! them is within every limit of a single request; only their sum is not.
//!
//! The costliest client is the one that has held the most bytes for the longest time
//! without progress. Clients whose request is with an instance cost nothing, because
//! they can do nothing about the wait.

/// Memory that a process needs without clients: program, configuration, placement
/// and connections to instances.
const BASE_BYTES: usize = 24 << 20;

/// Memory of responses that are being read from instances, which have a pool of
/// their own.
const RESPONSE_POOL_BYTES: usize = 16 << 20;

/// Smallest budget, for machines below the supported size: two bodies of the largest
/// legal size, so that a single one always fits.
const BUDGET_MIN_BYTES: usize = 10 << 20;

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Clients that hold at most this much may use all of the budget. Clients that hold
/// more leave an eighth of it to them, so that ordinary requests are still served.
const SMALL_CLIENT_BYTES: usize = 64 << 10;

/// Time without progress below which a client that is sending or reading is not
/// disconnected: twice the shortest retransmission timeout (200 ms), so that a lost
/// packet is not taken for a stop.
const QUIET_MIN_MS: u64 = 400;

/// What the machine of a process has for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Maximum number of open file descriptors.
    pub descriptors_max: usize,
}

/// Limits on all clients of a process together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory that clients may hold, in bytes.
    pub memory_bytes: usize,
    /// Maximum number of connections of clients.
    pub connections_max: usize,
}

/// What a client has to be disconnected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Memory. Idle clients hold too little to be disconnected for it.
    Memory,
    /// A connection.
    Connection,
}

impl ClientLimits {
    /// Limits that are never reached.
    pub const UNLIMITED: Self = Self {
        memory_bytes: usize::MAX / 4,
        connections_max: usize::MAX / 4,
    };

    /// Derives the limits from the machine. Two thirds of the memory that is left
    /// may be held, because the allocator needs more than what is asked of it; a
    /// third of the descriptors that are left is kept for connections to instances.
    pub fn of(machine: Machine) -> Self {
        let free_bytes = machine
            .memory_bytes
            .saturating_sub(BASE_BYTES + RESPONSE_POOL_BYTES);
        let free_descriptors = machine.descriptors_max.saturating_sub(FILE_DESCRIPTORS);
        Self {
            memory_bytes: (free_bytes / 3 * 2).max(BUDGET_MIN_BYTES),
            connections_max: (free_descriptors / 3 * 2).max(8),
        }
    }

    /// Returns whether a client that holds `held_bytes` may hold `added_bytes` more.
    /// `leaving_bytes` are held by clients that were disconnected and will be free
    /// shortly; up to an eighth of the budget is lent against them.
    pub fn admits(
        &self,
        used_bytes: usize,
        leaving_bytes: usize,
        held_bytes: usize,
        added_bytes: usize,
    ) -> bool {
        let wanted_bytes = self.wanted_bytes(used_bytes, held_bytes, added_bytes);
        wanted_bytes <= self.memory_bytes
            && self.eviction_helps(used_bytes, leaving_bytes, held_bytes, added_bytes)
    }

    /// Returns whether disconnecting clients can make room for `added_bytes`. It
    /// turns used memory into leaving memory, so that it can't where their sum is
    /// too high.
    pub fn eviction_helps(
        &self,
        used_bytes: usize,
        leaving_bytes: usize,
        held_bytes: usize,
        added_bytes: usize,
    ) -> bool {
        self.wanted_bytes(used_bytes, held_bytes, added_bytes)
            .saturating_add(leaving_bytes)
            <= self.memory_bytes + self.memory_bytes / 8
    }

    /// Returns the memory that would be in use, with what is kept for small clients.
    fn wanted_bytes(&self, used_bytes: usize, held_bytes: usize, added_bytes: usize) -> usize {
        let kept_bytes = match held_bytes.saturating_add(added_bytes) > SMALL_CLIENT_BYTES {
            true => self.memory_bytes / 8,
            false => 0,
        };
        used_bytes
            .saturating_add(added_bytes)
            .saturating_add(kept_bytes)
    }
}

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request has begun.
    Idle,
    /// A head or a body is being received.
    Sending,
    /// The request is being served, or its response is written without delay.
    Waiting,
    /// A response is being written, and the client does not take more of it.
    Reading,
}

/// State of one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientState {
    /// What the client is doing.
    pub activity: Activity,
    /// Memory held for it, in bytes.
    pub held_bytes: usize,
    /// Time since it last made progress, in milliseconds.
    pub quiet_ms: u64,
}

impl ClientState {
    /// Returns the cost of a client in byte-milliseconds; `None` if it must not be
    /// disconnected.
    fn cost(&self, need: Need) -> Option<u128> {
        let is_quiet = self.quiet_ms >= QUIET_MIN_MS;
        match self.activity {
            Activity::Waiting => None,
            Activity::Idle if need == Need::Memory => None,
            Activity::Sending | Activity::Reading if !is_quiet => None,
            _ => Some(self.held_bytes as u128 * u128::from(self.quiet_ms)),
        }
    }
}

/// Returns the costliest of the clients that may be disconnected.
pub fn costliest<Id>(
    need: Need,
    clients: impl IntoIterator<Item = (Id, ClientState)>,
) -> Option<Id> {
    clients
        .into_iter()
        .filter_map(|(id, state)| Some((id, state.cost(need)?)))
        .max_by_key(|(_, cost)| *cost)
        .map(|(id, _)| id)
}
