//! The batch plane of the tier, as a program.

fn main() -> std::process::ExitCode {
    batch_store::run()
}
