//! Newtypes for ids, versions, counts, sizes, rates, hashes and times.
//!
//! Every type implements `Display` and `FromStr`; its serialized form is its displayed form. Points
//! in time are plain numbers: the crates that make decisions get `Instant` values as arguments and
//! never read a clock.

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
