//! Client of the platform's object API.
//!
//! Writes are conditional. Every error says whether the call may have taken effect, because an
//! answer can be lost after the write.

mod http;
mod memory;
mod object;

pub use {
    http::{HttpStore, HttpStoreTimeouts},
    memory::MemoryStore,
    object::{
        Change, MAX_VALUE_BYTES, Object, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome, WriteResponse, is_key,
    },
};
