//! Regenerates `components/proto/src/generated` from `components/proto/proto`.
//!
//! Run it from the repository root with `cargo run -p wigeonramp-protogen` after a change to
//! `peer.proto`. The build itself needs neither this program nor protoc.

use std::error::Error;

const PROTO_DIR: &str = "components/proto/proto";
const OUT_DIR: &str = "components/proto/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["peer.proto"], [PROTO_DIR])?;
    tonic_prost_build::configure().out_dir(OUT_DIR).compile_fds(descriptors)?;
    Ok(())
}
