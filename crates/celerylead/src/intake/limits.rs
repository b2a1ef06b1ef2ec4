//! Division of a host's memory and descriptors.

/// Largest body that the share for small ones serves. Everyday requests have
/// about 1 KB.
pub(crate) const SMALL_BODY_BYTES: usize = 16 << 10;

/// Part of the memory for bodies: 30 MB of the 120 MB of the smallest host.
const BODY_DIVISOR: u64 = 4;
/// Part of the bytes for bodies that only small ones may take.
const SMALL_DIVISOR: u64 = 4;
/// Part of the memory for the tables of heads with many headers: 7.5 MB of the
/// 120 MB of the smallest host, which holds the largest single table.
const TABLE_DIVISOR: u64 = 16;
/// Headers of a request that need no room of their own. Everyday requests have
/// about ten.
const PLAIN_HEADERS: usize = 64;
/// Memory of each further header: an entry, its name and its place in the index
/// for the request, and the same once more while it is forwarded.
const HEADER_BYTES: usize = 400;
/// Bytes of the shortest header line.
const MIN_HEADER_LINE: usize = 4;
/// Most headers of a request. The HTTP library's table panics above 24,576, and
/// forwarding adds a few.
const MAX_HEADERS: usize = 24_000;
/// Part of the memory for connections: 40 MB of the 120 MB of the smallest
/// host. The rest is the program with its tables, and what the allocator
/// can't use.
const CONNECTION_DIVISOR: u64 = 3;
/// Memory of a connection besides the head that it reads: a read buffer of 32
/// KB, and 16 KB for a parsed head, the tasks and what waits to be written.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Descriptors that aren't for connections.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of a connection: its own, and that of the runner that answers
/// its request.
const CONNECTION_DESCRIPTORS: u64 = 2;
/// Connections that even the smallest host accepts.
const MIN_CONNECTIONS: u64 = 16;

/// Returns the most headers of a request whose head has at most `head_bytes`:
/// as many as fit.
pub(crate) fn max_headers(head_bytes: usize) -> usize {
    (head_bytes / MIN_HEADER_LINE).clamp(PLAIN_HEADERS, MAX_HEADERS)
}

/// Returns the room that this number of headers needs.
pub(crate) fn header_room(headers: usize) -> usize {
    headers.saturating_sub(PLAIN_HEADERS) * HEADER_BYTES
}

/// What the callers of a host may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IntakeLimits {
    /// Bytes that bodies of any size may take.
    pub(crate) common_bytes: u64,
    /// Further bytes that only small bodies may take.
    pub(crate) small_bytes: u64,
    /// Bytes that the tables of heads with many headers may take.
    pub(crate) table_bytes: u64,
    memory_bytes: u64,
    descriptors: u64,
}

impl IntakeLimits {
    /// Divides the memory and the descriptors of a host.
    pub(crate) fn of(memory_bytes: u64, descriptors: u64) -> IntakeLimits {
        let bodies = memory_bytes / BODY_DIVISOR;
        let small_bytes = bodies / SMALL_DIVISOR;
        IntakeLimits {
            common_bytes: bodies - small_bytes,
            small_bytes,
            table_bytes: memory_bytes / TABLE_DIVISOR,
            memory_bytes,
            descriptors,
        }
    }

    /// Returns the number of connections of callers whose heads have at most
    /// `head_bytes`.
    pub(crate) fn connections(&self, head_bytes: usize) -> usize {
        let head = u64::try_from(head_bytes).unwrap_or(u64::MAX);
        let each = CONNECTION_BYTES.saturating_add(head);
        let by_memory = self.memory_bytes / CONNECTION_DIVISOR / each;
        let by_descriptors =
            self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
                / CONNECTION_DESCRIPTORS;
        let bound = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        usize::try_from(bound).unwrap_or(usize::MAX)
    }
}
