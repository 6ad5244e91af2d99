//! The entry: admits a request, scatters it, gathers, merges and answers once.
