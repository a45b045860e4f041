//! The control plane of the tier, as a program.

fn main() -> std::process::ExitCode {
    controller::run()
}
