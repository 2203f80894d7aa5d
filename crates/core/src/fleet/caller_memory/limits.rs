//! Limits of what callers can make a host occupy.

/// Size of the kernel's receive buffer of a caller's connection.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Other memory of a connection: the head of a request, and the connection's state.
const HEAD_BYTES: usize = 16 << 10;

/// Largest body that counts as small.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Descriptors that callers' connections leave to files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors that callers' connections leave to other hosts, the store and operators.
const INTERNAL_DESCRIPTORS: usize = 300;

/// Minimum number of callers' connections.
const MIN_CONNECTIONS: usize = 8;

/// What callers can make a host occupy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerMemoryLimits {
    /// Bytes of connections, bodies and responses together.
    pub total_bytes: usize,
    /// Callers' connections.
    pub max_connections: usize,
    /// Bytes that each connection counts with.
    pub connection_bytes: usize,
}

impl CallerMemoryLimits {
    /// Size of the kernel's receive buffer of a caller's connection, in bytes.
    pub const RECEIVE_BUFFER_BYTES: usize = RECEIVE_BUFFER_BYTES;

    /// Returns the limits in a process with this memory, in bytes, and number of descriptors.
    /// Half of the memory is left to the process itself. Each request may take a second
    /// descriptor, for the connection to its runner.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::CallerMemoryLimits;
    ///
    /// let limits = CallerMemoryLimits::of_process(160 << 20, 4_100);
    /// assert_eq!((limits.total_bytes, limits.max_connections), (80 << 20, 853));
    /// ```
    #[must_use]
    pub fn of_process(memory_bytes: usize, descriptors: usize) -> Self {
        let total_bytes = memory_bytes / 2;
        let connection_bytes = RECEIVE_BUFFER_BYTES + HEAD_BYTES;
        let by_memory = total_bytes / 2 / connection_bytes;
        let by_descriptors =
            descriptors.saturating_sub(FILE_DESCRIPTORS + INTERNAL_DESCRIPTORS) / 2;
        let max_connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        Self { total_bytes, max_connections, connection_bytes }
    }

    /// Bytes of a body, if it is not small.
    pub(super) fn large(&self, body: usize) -> usize {
        if body > SMALL_BODY_BYTES { body } else { 0 }
    }

    /// Maximum bytes of bodies that are not small.
    pub(super) fn max_large(&self) -> usize {
        self.total_bytes / 4 * 3
    }

    /// Maximum bytes of such bodies of one workspace.
    pub(super) fn max_large_of_workspace(&self) -> usize {
        self.max_large() / 4 * 3
    }

    /// Maximum bytes of responses beyond what each may hold.
    pub(super) fn max_responses(&self) -> usize {
        self.total_bytes / 2
    }

    /// Maximum bytes of evicted callers that are not released yet.
    pub(super) fn max_evicting(&self) -> usize {
        self.total_bytes / 4
    }
}
