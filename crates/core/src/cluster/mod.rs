//! Who is alive and who owns a pool.

mod rank;

pub use self::rank::rank;
