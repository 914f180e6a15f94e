//! Tests of the control plane: hosts in this process with stand-ins for the platform and leaves.

mod claims;
mod configuration;
mod discovery;
mod host_state;
mod lost_confirm;
mod stop;
mod support;
mod zones;
