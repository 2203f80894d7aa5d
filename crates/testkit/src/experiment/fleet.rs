//! The twelve engines of an experiment, at three speeds.

use std::time::Duration;

use super::engine::EngineSpec;

/// Returns four engines of each speed, spread over three data centres.
#[must_use]
pub(crate) fn fleet(data_centres: [&str; 3]) -> Vec<EngineSpec> {
    let mut specs = Vec::new();
    for number in 0..4 {
        for (speed, data_centre) in data_centres.into_iter().enumerate() {
            let mut spec = [fast, medium, slow][(speed + number) % 3]();
            spec.name = format!("{data_centre}-{number}");
            data_centre.clone_into(&mut spec.data_centre);
            specs.push(spec);
        }
    }
    specs
}

fn fast() -> EngineSpec {
    EngineSpec {
        name: String::new(),
        data_centre: String::new(),
        prefill_rate: 24_000.0,
        step_base: Duration::from_micros(8_000),
        step_per_sequence: Duration::from_micros(250),
        chunk_tokens: 512,
        max_sequences: 32,
        sequence_tokens: 400_000,
        prefix_tokens: 400_000,
    }
}

fn medium() -> EngineSpec {
    EngineSpec {
        prefill_rate: 16_000.0,
        step_base: Duration::from_micros(12_000),
        step_per_sequence: Duration::from_micros(375),
        chunk_tokens: 384,
        max_sequences: 32,
        sequence_tokens: 300_000,
        prefix_tokens: 300_000,
        ..fast()
    }
}

fn slow() -> EngineSpec {
    EngineSpec {
        prefill_rate: 8_000.0,
        step_base: Duration::from_micros(16_000),
        step_per_sequence: Duration::from_micros(750),
        chunk_tokens: 192,
        max_sequences: 24,
        sequence_tokens: 200_000,
        prefix_tokens: 200_000,
        ..fast()
    }
}
