//! Shells of a host around the decisions.
