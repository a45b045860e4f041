mod common;
use common::World;
use relay_tree::Stamp;
#[test]
fn figures() {
    let mut w = World::new(1, 3, 0, 4);
    w.run(3000);
    let b = w.bytes;
    w.set(0, "config/next", Stamp(1, 0), Some(vec![1; 4 << 20]));
    let t = w.until_all_have("config/next", Stamp(1, 0), 5000);
    w.run(3000);
    println!("{t:?} {} MiB", (w.bytes - b) as f64 / (1 << 20) as f64);
    let mut w = World::new(2, 3, 8, 2);
    w.run(2_000);
    w.rate = 2_000;
    w.set(0, "config/next", Stamp(7, 0), Some(vec![1; 4 << 20]));
    println!("4 MiB, 2 MB/s: {:?}", w.until_all_have("config/next", Stamp(7, 0), 20_000));
}
