//! Newtypes for ids, versions, counts, sizes, rates, hashes and times.
//!
//! Ids, durations and hashes are serialized in their displayed form, all other types as plain
//! numbers. The crates that make decisions get the time as `Instant` arguments and never read a
//! clock.

mod id;
mod number;
mod rate;
mod text;
mod time;

pub use id::{
    BootId, CallerId, CollectionId, HostId, InstanceId, LeafId, MemberId, OpId, RegionId,
    RequestId, ServiceId, ShardId, ZoneId,
};
pub use number::{
    AttemptId, ByteSize, ConfigVersion, Connections, Digest, Epoch, Fingerprint, MapVersion,
    PerSecond, Percent, Revision, Slots, SnapshotId, StoreEra,
};
pub use rate::RequestRate;
pub use text::ParseError;
pub use time::{Instant, Span, UnixMillis};
