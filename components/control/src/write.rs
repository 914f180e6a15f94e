//! What a shell reports back about a conditional write.

use wigeonramp_units::Revision;

/// Outcome of a conditional write of a `T`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult<T> {
    /// The write took effect as this revision.
    Written(Revision),
    /// The precondition was false; holds the present value, if any.
    Conflict(Option<Stored<T>>),
    /// The write certainly had no effect.
    NoEffect,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// Outcome of a read of a `T`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult<T> {
    /// The present value.
    Found(Stored<T>),
    /// There is no value.
    Missing,
    /// No answer.
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
