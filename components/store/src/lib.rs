//! Client of the platform's object API.
//!
//! Writes are conditional. Every error says whether the call may have taken effect, because an
//! answer can be lost after the write.

mod object;

pub use object::{
    Change, Fetched, Object, ObjectStore, PlatformHost, Precondition, Put, StoreError,
};
