//! The data plane of the tier, as a program: all of it is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    gateway::main()
}
