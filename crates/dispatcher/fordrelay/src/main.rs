//! The dispatcher.

fn main() -> std::process::ExitCode {
    fordrelay::run()
}
