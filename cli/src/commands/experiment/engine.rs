//! A small fake of a model engine: a batch, a serial prefill and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::target::wire::LoadReport;

/// The share by which a full batch slows the generation of tokens.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// What an engine can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel {
    /// The most requests in the batch.
    pub(crate) batch_limit_requests: usize,
    /// The time per token of a request alone in the batch.
    pub(crate) time_per_token: Duration,
    /// The time of a prefill without a cached prefix.
    pub(crate) prefill_miss: Duration,
    /// The time of a prefill with one.
    pub(crate) prefill_hit: Duration,
    /// The prefixes that the cache holds.
    pub(crate) cached_prefixes: usize,
}

impl EngineModel {
    /// Returns the time of an answer in a full batch, without its prefill.
    pub(crate) fn full_batch_time(&self, tokens: f64) -> Duration {
        self.time_per_token
            .mul_f64(tokens * (1.0 + FULL_BATCH_SLOWDOWN))
    }
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest {
    /// The request's number.
    pub(crate) number: usize,
    /// The prompt's prefix.
    pub(crate) prefix: usize,
    /// The length of the answer.
    pub(crate) tokens: u64,
}

/// A request that entered the batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRequest {
    /// The request.
    pub(crate) request: EngineRequest,
    /// When its first token comes.
    pub(crate) first_token_at: Instant,
    /// When its last token comes.
    pub(crate) finished_at: Instant,
    /// Whether its prefix was cached.
    pub(crate) is_hit: bool,
}

/// An engine and what it works on.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    model: EngineModel,
    slowdown: f64,
    queue: VecDeque<EngineRequest>,
    running: usize,
    prefill_free_at: Instant,
    /// The cached prefixes, the one used last at the end.
    cache: Vec<usize>,
}

impl Engine {
    /// Creates an idle engine.
    pub(crate) fn new(model: EngineModel, now: Instant) -> Self {
        Self {
            model,
            slowdown: 1.0,
            queue: VecDeque::new(),
            running: 0,
            prefill_free_at: now,
            cache: Vec::new(),
        }
    }

    /// Makes the engine so many times slower for requests that start from now on.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Takes in a request and returns it if it starts at once.
    pub(crate) fn submit(
        &mut self,
        request: EngineRequest,
        now: Instant,
    ) -> Option<StartedRequest> {
        self.queue.push_back(request);
        self.start_next(now)
    }

    /// Takes in that a request ended and returns the next one that starts.
    pub(crate) fn finish(&mut self, now: Instant) -> Option<StartedRequest> {
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Takes a waiting request out of the queue and returns whether it was there.
    pub(crate) fn remove_queued(&mut self, number: usize) -> bool {
        let before = self.queue.len();
        self.queue.retain(|request| request.number != number);
        self.queue.len() < before
    }

    /// Returns the load as the engine would report it.
    pub(crate) fn load(&self) -> LoadReport {
        let time_per_token = self.time_per_token();
        LoadReport {
            queued_requests: self.queue.len() as u32,
            running_requests: self.running as u32,
            batch_limit_requests: self.model.batch_limit_requests as u32,
            time_per_token_ms: time_per_token.as_secs_f64() * 1e3,
            ..LoadReport::default()
        }
    }

    fn start_next(&mut self, now: Instant) -> Option<StartedRequest> {
        if self.running >= self.model.batch_limit_requests {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.running += 1;
        let is_hit = self.access_prefix(request.prefix);
        let prefill = if is_hit {
            self.model.prefill_hit
        } else {
            self.model.prefill_miss
        };
        let start = now.max(self.prefill_free_at);
        let first_token_at = start + prefill.mul_f64(self.slowdown);
        self.prefill_free_at = first_token_at;
        let generation = self.time_per_token().mul_f64(request.tokens as f64);
        Some(StartedRequest {
            request,
            first_token_at,
            finished_at: first_token_at + generation,
            is_hit,
        })
    }

    fn time_per_token(&self) -> Duration {
        let batch_fill = self.running as f64 / self.model.batch_limit_requests as f64;
        let batch_slowdown = 1.0 + FULL_BATCH_SLOWDOWN * batch_fill;
        self.model
            .time_per_token
            .mul_f64(batch_slowdown * self.slowdown)
    }

    /// Returns whether the prefix was cached, and caches it.
    fn access_prefix(&mut self, prefix: usize) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        } else if self.cache.len() >= self.model.cached_prefixes {
            self.cache.remove(0);
        }
        self.cache.push(prefix);
        found.is_some()
    }
}
