//! Limits of what operators may ask for, and of the replicated state.

/// Longest name of a service, back end, policy, zone or node, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest request identifier, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// Most edits in one change.
pub const MAX_EDITS: usize = 128;

/// Largest change, in encoded bytes. It fits one command of the log.
pub const MAX_CHANGE_BYTES: usize = 40_000;

/// Largest set of record changes made by one version, in encoded bytes. It
/// fits one control message.
pub const MAX_DELTA_BYTES: usize = 50_000;

/// Most services: about twice the 67,000 addresses of the largest deployment.
pub const MAX_SERVICES: usize = 131_072;

/// Most back ends of one service, so that its placement fits one message.
pub const MAX_BACKENDS_OF_SERVICE: usize = 256;

/// Most back ends in total: about one and a half times the 160,000 of the
/// largest deployment.
pub const MAX_BACKENDS: usize = 262_144;

/// Most encoded bytes of all services, back ends and policies together, about
/// twice those of the largest deployment. Records may be long, so the numbers
/// alone would not bound memory.
pub const MAX_CONFIGURATION_BYTES: usize = 48 << 20;

/// Most policies.
pub const MAX_POLICIES: usize = 256;

/// Largest member record, in encoded bytes: two names and fixed fields.
pub const MAX_MEMBER_BYTES: usize = 256;

/// Largest batch of the leader's commands and of the records that it changes,
/// in encoded bytes.
pub const MAX_BATCH_BYTES: usize = 32_000;

/// Most balancers and agents: nearly twice the 18,000 daemons of the largest
/// deployment.
pub const MAX_MEMBERS: usize = 32_768;

/// Most labels of one back end.
pub const MAX_LABELS: usize = 16;

/// Longest value of a label, in bytes.
pub const MAX_LABEL_VALUE_BYTES: usize = 255;

/// Most slots or connections of one back end.
pub const MAX_CAPACITY: u32 = 1_000_000;

/// Longest warm-up time and idle time, in seconds: one week.
pub const MAX_SECONDS: u32 = 7 * 24 * 3_600;

/// Most drained node names: more than one region of six has.
pub const MAX_DRAINED_NODES: usize = 4_096;

/// Answers to operator changes that are remembered for resends. A resend is
/// answered as at first as long as fewer other changes came in between.
pub const REQUEST_WINDOW: usize = 4_096;

/// Fenced lives that are remembered, over all nodes. A life among them can't
/// be registered again. It covers the loss of all daemons at once, and half a
/// day with 64,000 restarts.
pub const FENCED_WINDOW: usize = 32_768;

/// Generations of one placement that the replicated state keeps at most. The
/// planner starts no optional change beyond
/// [`PLANNED_GENERATIONS`](super::PLANNED_GENERATIONS).
pub const MAX_GENERATIONS: usize = 6;
