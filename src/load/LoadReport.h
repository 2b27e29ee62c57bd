#pragma once

#include <string>

namespace crocusmount {

class LoadRun;

/// The results of a load run: counts of outcomes, latencies, and violations of the guarantees to callers.
struct LoadReport {
    std::string json; ///< the complete result
    std::string table; ///< a summary as plain text
    /// Number of lost answers, wrong answers, non-repeatable requests that ran more than once, and failures reported as
    /// "not run" although the request ran.
    std::size_t broken = 0;
};

/// Summarizes a finished run.
LoadReport reportOf(const LoadRun&);

} // namespace crocusmount
