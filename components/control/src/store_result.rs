//! Results of reads from and conditional writes to the store, as the daemon reports them.

use wigeonramp_units::Revision;

/// Outcome of a conditional write of a `T`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult<T> {
    /// The write took effect and created this revision.
    Written(Revision),
    /// The precondition failed; holds the current value, if any.
    Conflict(Option<Stored<T>>),
    /// The write is known to have had no effect.
    NoEffect,
    /// No response arrived: the write may have taken effect or may still do so.
    Unknown,
}

/// Outcome of a read of a `T`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult<T> {
    /// The current value.
    Found(Stored<T>),
    /// The object does not exist.
    Missing,
    /// No response arrived.
    Failed,
}

/// A value with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored<T> {
    /// The store's revision of the value.
    pub revision: Revision,
    /// The value.
    pub value: T,
}
