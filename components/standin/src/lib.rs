//! Stand-ins of the platform and of leaves, with settable faults.
