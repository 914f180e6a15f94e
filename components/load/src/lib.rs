//! Open-loop load tool.
