//! The `petrellatch` binary; see the library of the same name.

use std::process::ExitCode;

fn main() -> ExitCode {
    petrellatch::run()
}
