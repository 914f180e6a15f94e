//! Limits on what a process holds for clients that nobody controls: callers that send much and read
//! nothing, stop just short of the end of a body, or open connections and say nothing.

pub mod connections;
pub mod memory;
pub mod relief;

use wigeonramp_units::Span;

/// Time without progress after which a connection may be closed, once a limit is reached. An
/// ordinary client sends a request without such pauses.
pub const STALL_TIME: Span = Span::secs(1);
/// Number of bytes in `STALL_TIME` that count as progress of a body, so that single bytes do not
/// keep it open.
pub const PROGRESS_BYTES: u64 = 4 * 1024;
