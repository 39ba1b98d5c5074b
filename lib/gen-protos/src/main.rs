//! Generates `lib/src/connection/relay/generated.rs` from `lib/proto/relay.proto`.
//!
//! After a change of the proto file, run `cargo run --manifest-path lib/gen-protos/Cargo.toml` and
//! commit the generated file. The generator does not need `protoc`, and the build of the project
//! needs neither `protoc` nor the generator.

use std::error::Error;
use std::fs;
use std::path::Path;

/// The file name that `tonic_prost_build` derives from the protobuf package.
const GENERATED_FILE: &str = "beryltray.relay.v1.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let lib = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out_dir = lib.join("src/connection/relay");
    let files = protox::compile([lib.join("proto/relay.proto")], [lib.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(files)?;
    fs::rename(out_dir.join(GENERATED_FILE), out_dir.join("generated.rs"))?;
    Ok(())
}
