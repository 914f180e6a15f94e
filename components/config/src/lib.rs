//! Host settings, declared deployments, the versioned configuration document, and the request and
//! response bodies of the caller and operator APIs.

pub mod api;
pub mod caller_api;
mod change;
mod deployment;
mod deployment_check;
mod document;
mod document_check;
mod error;
mod file;
mod host;
mod intent;
mod rules;
mod settings;

pub use {
    change::{ConfigChange, SettingChange, diff},
    deployment::{DeclaredCollection, DeclaredMap, DeclaredZone, Deployment},
    document::{
        AdminState, Caller, Collection, Document, Leaf, LeafLimits, Limits, Member, PartitionMap,
        Prefer, Priority, Zone, token_sha256,
    },
    error::{ConfigError, ValidationError},
    host::{HostSettings, LogLevel, LogSettings},
    settings::SettingsFile,
};
