//! A small model of runners in virtual time, with dispatchers that choose on their own.

pub mod fleet;
pub mod model;

use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use runner_registry::{Runner, RunnerState};
use runner_selection::{Balancer, RequestProfile, ServiceTerms, Traffic};

pub const SVC: &str = "lm";

pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

pub fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -(1.0 - unit(rng)).ln() * mean
}

pub fn listed(n: usize, svc: &str, slots: u32) -> Runner {
    Runner {
        id: format!("i-{n:08x}").as_str().into(),
        service: svc.into(),
        addr: format!("10.0.{}.{}:8080", n / 250, n % 250 + 1)
            .parse()
            .unwrap(),
        zone: format!("z{}", n % 4).as_str().into(),
        software_version: "v1".into(),
        slots,
        state: RunnerState::Up,
        warmup_left_ms: 0,
        phase: "both".into(),
        models: Vec::new(),
        seqno: 1,
        owner: 1,
    }
}

pub fn llm(max_conns: u32, kv: u64) -> ServiceTerms {
    ServiceTerms {
        max_conns,
        kv_capacity: Some(kv),
        llm: true,
    }
}

pub fn plain(max_conns: u32) -> ServiceTerms {
    ServiceTerms {
        max_conns,
        kv_capacity: None,
        llm: false,
    }
}

pub fn balancer(
    seed: u64,
    runners: usize,
    slots: u32,
    terms: ServiceTerms,
    dispatchers: u32,
) -> Balancer {
    let mut balancer = Balancer::new(seed, "z0");
    balancer.set_dispatcher_count(dispatchers);
    for n in 0..runners {
        balancer.update_runner(0, &listed(n, SVC, slots), terms);
    }
    balancer
}

pub fn traffic(is_item: bool) -> Traffic {
    if is_item {
        Traffic::Item
    } else {
        Traffic::Live
    }
}

pub fn want(tokens_in: u32, tokens_out: u32) -> RequestProfile {
    RequestProfile {
        service: SVC.into(),
        prompt_parts: vec![(0xffff_0000 + u64::from(tokens_in), tokens_in)],
        prompt_tokens: tokens_in,
        max_output_tokens: tokens_out,
        target_ms: 200,
        remaining_ms: 5_000,
        ..RequestProfile::default()
    }
}
