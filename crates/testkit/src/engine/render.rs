//! Response bodies.

use std::fmt::Write as _;

use serde_json::json;

use super::job::{Job, Progress};

/// Text of the token with this number, from 1.
pub(super) fn token(digest: u64, number: u32) -> String {
    format!("{:06x}-{number} ", digest >> 40)
}

/// Number of events of a complete stream: one for each token, the finish event
/// and `[DONE]`.
pub(super) fn event_count(job: &Job) -> u32 {
    job.max_tokens + 2
}

/// Writes the event with this number, from 1.
pub(super) fn event(out: &mut String, job: &Job, number: u32, progress: &Progress) {
    // Writing to a string can't fail.
    let _ = write!(out, "id: {number}\ndata: ");
    if number <= job.max_tokens {
        chunk(out, job, number);
    } else if number == job.max_tokens + 1 {
        finish(out, job, progress);
    } else {
        out.push_str("[DONE]");
    }
    out.push_str("\n\n");
}

/// Formats the JSON without building a value, since this runs for each token.
fn chunk(out: &mut String, job: &Job, number: u32) {
    let digest = job.prompt.digest;
    let model = json!(job.model);
    let token = token(digest, number);
    let _ = write!(
        out,
        "{{\"id\":\"chatcmpl-{digest:016x}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
         \"model\":{model},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\
         \"finish_reason\":null}}]}}",
    );
}

fn finish(out: &mut String, job: &Job, progress: &Progress) {
    let value = json!({
        "id": format!("chatcmpl-{:016x}", job.prompt.digest),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": job.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage(job, progress),
    });
    out.push_str(&value.to_string());
}

/// The response body of a request that is not streamed.
pub(super) fn complete(job: &Job, progress: &Progress) -> String {
    let digest = job.prompt.digest;
    let content: String = (1..=job.max_tokens).map(|number| token(digest, number)).collect();
    json!({
        "id": format!("chatcmpl-{digest:016x}"),
        "object": "chat.completion",
        "created": 0,
        "model": job.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": usage(job, progress),
    })
    .to_string()
}

fn usage(job: &Job, progress: &Progress) -> serde_json::Value {
    json!({
        "prompt_tokens": job.prompt.tokens,
        "completion_tokens": job.max_tokens,
        "total_tokens": job.prompt.tokens + job.max_tokens,
        "prompt_tokens_details": {"cached_tokens": progress.cached_tokens},
    })
}
