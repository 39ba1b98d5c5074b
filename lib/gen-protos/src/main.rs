//! Makes `lib/src/connection/relay/generated.rs` of `lib/proto/relay.proto`.
//!
//! Run it with `cargo run --manifest-path lib/gen-protos/Cargo.toml` after a change of the proto
//! file and commit what it writes. It needs no `protoc`, and the build of the project needs
//! neither.

use std::error::Error;
use std::fs;
use std::path::Path;

/// The name that the generator gives to the file of the package.
const MADE_FILE: &str = "beryltray.relay.v1.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let lib = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out_dir = lib.join("src/connection/relay");
    let files = protox::compile([lib.join("proto/relay.proto")], [lib.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(files)?;
    fs::rename(out_dir.join(MADE_FILE), out_dir.join("generated.rs"))?;
    Ok(())
}
