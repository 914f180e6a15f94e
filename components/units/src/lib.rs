//! Newtypes for ids, sizes, rates, versions and times.
//!
//! Every type has `Display` and `FromStr`, and serializes the way it displays. Times are plain
//! numbers: the decision crates get `Instant` values passed in and never read a clock.

mod id;
mod number;
mod text;
mod time;

pub use id::{
    BootId, CallerId, CollectionId, HostId, InstanceId, LeafId, MemberId, OpId, RegionId,
    RequestId, ServiceId, ShardId, ZoneId,
};
pub use number::{
    AttemptId, ByteSize, ConfigVersion, Connections, Digest, Epoch, Fingerprint, MapVersion,
    PerSecond, Percent, Revision, Slots, SnapshotId,
};
pub use text::ParseError;
pub use time::{Instant, Span, UnixMillis};
